/**
 * The settings files of the daemon and the gateway: parsing, validation and defaults. One pass
 * reports all faults of a file. It depends on the net package only.
 */
package org.galenapost.daemon.settings;
