/**
 * Verdicts and refusals, which tell a caller why a request failed and whether it may have run.
 * Every other package may depend on this one; it depends on none.
 */
package org.galenapost.core.verdict;
