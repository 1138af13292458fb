/** Services that start and stop, and groups that order them. It depends on logs only. */
package org.galenapost.daemon.service;
