/**
 * The commands of the command-line tool, one class each. They use the operator client and the
 * output of the parent package.
 */
package org.galenapost.cli.command;
