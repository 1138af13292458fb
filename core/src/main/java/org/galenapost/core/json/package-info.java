/** Reading and writing of records as JSON. Every other package may depend on this one. */
package org.galenapost.core.json;
