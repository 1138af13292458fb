/**
 * Clients for callers and operators. They send completions, service calls and control requests and
 * record the answers with their arrival times. The package depends on no other package of this
 * module.
 */
package org.galenapost.scenarios.client;
