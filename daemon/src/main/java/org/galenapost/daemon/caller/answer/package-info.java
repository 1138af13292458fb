/**
 * Answers to generation requests: streams of server-sent events and complete documents. It depends
 * on the caller package and on core's generation package.
 */
package org.galenapost.daemon.caller.answer;
