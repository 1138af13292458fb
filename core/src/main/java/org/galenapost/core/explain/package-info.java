/**
 * Typed records of the decisions made for a request, shown to operators. Every other package may
 * depend on this one; it depends on none.
 */
package org.galenapost.core.explain;
