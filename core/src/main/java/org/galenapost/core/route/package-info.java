/**
 * The routes and services of the gateway, published by operators as one versioned document. The
 * package depends on configuration objects and JSON.
 */
package org.galenapost.core.route;
