/**
 * Which server runs a call of the gateway: what each server has in hand, as all daemons tell it,
 * which servers failed lately, where a copy of a run's memory goes, and how many repeated sends the
 * fleet can bear. It depends on instances, peers and time.
 */
package org.galenapost.core.dispatch;
