/**
 * The HTTP/1.1 server that the stand-ins share. All handlers of one server run on its single event
 * loop, so a stand-in needs no locks. Depends only on {@code json}.
 */
package org.galenapost.standins.http;
