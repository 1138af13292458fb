package org.galenapost.cli.command;

/**
 * A configuration object that the daemon accepted or already has in force.
 *
 * @param spec the requested object
 * @param version the version of the object on the platform
 */
record AppliedObject(ObjectSpec spec, long version) {}
