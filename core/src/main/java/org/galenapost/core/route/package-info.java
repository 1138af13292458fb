/**
 * The calls that the gateway takes and the services that they go to, as one versioned document that
 * operators publish. It depends on the JSON package alone.
 */
package org.galenapost.core.route;
