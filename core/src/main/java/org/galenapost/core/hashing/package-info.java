/**
 * Rendezvous hashing, by which processes with the same view of the nodes choose the same node
 * without exchanging messages. Every other package may depend on this one; it depends on none.
 */
package org.galenapost.core.hashing;
