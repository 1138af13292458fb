/** Traces of the latest requests, for operators. It depends on core's explain package. */
package org.galenapost.daemon.explain;
