/**
 * Runs generations on engines that can fail. It applies the decisions of core on streams, losses,
 * recovery, quarantine and resume handles. It depends on the engine client and on core.
 */
package org.galenapost.daemon.generation;
