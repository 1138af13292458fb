/**
 * The platform's object API and host list as interfaces, with their typed errors. Decisions that
 * have to be durable or agreed between daemons go through {@link
 * org.galenapost.core.platform.ObjectStore}. This package depends on time only.
 */
package org.galenapost.core.platform;
