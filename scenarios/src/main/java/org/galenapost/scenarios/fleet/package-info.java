/**
 * Starts and addresses the processes of a scenario: platform, engines, services, links and daemons.
 * It writes their settings files and the platform's content. It depends on the scenario language,
 * the control client, the process package and the programs that it starts.
 */
package org.galenapost.scenarios.fleet;
