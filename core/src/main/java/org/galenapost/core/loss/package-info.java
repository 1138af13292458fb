/**
 * Loss detection for attempts on backend servers. The package adapts silence bounds to each
 * server's token timing, asks for probes and accounts for stalls of this process. It depends on
 * time only.
 */
package org.galenapost.core.loss;
