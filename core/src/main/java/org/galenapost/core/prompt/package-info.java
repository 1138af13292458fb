/**
 * The beginnings of prompts that servers hold in memory: learnt from runs, exchanged between the
 * daemons of a cell, and estimated for new calls. The package depends on instances, peers and time.
 */
package org.galenapost.core.prompt;
