/**
 * Profiles, by which operators configure the scheduling and recovery of a type of request. This
 * package depends on no other.
 */
package org.galenapost.core.profile;
