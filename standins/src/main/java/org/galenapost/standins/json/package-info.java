/** Reads and writes JSON for the stand-ins. Every other package of this module may use it. */
package org.galenapost.standins.json;
