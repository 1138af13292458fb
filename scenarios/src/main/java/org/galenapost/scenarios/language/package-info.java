/**
 * The scenario language: records that are read from scenario files in YAML. It depends on no other
 * package of the scenario runner.
 */
package org.galenapost.scenarios.language;
