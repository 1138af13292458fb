/**
 * The handing over of calls by a daemon that reaches no server of a service to one that does. The
 * package decides when and to which daemon; it depends on instances, dispatch, messages between
 * daemons and time.
 */
package org.galenapost.core.handover;
