package org.galenapost.daemon.gateway.upstream;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * A response as a server writes it.
 *
 * @param status the HTTP status
 * @param callId the id of the call that it answers
 * @param seal the signature of the server
 * @param body the body
 * @param isChunked whether the body has chunks instead of a length
 * @param headerOrder decides in which order the headers are written
 */
record RawResponse(
    int status, String callId, String seal, String body, boolean isChunked, long headerOrder) {

  /** Returns the bytes of the response, one character for each. */
  String text() {
    List<String> headers =
        new ArrayList<>(
            List.of(
                "Date: Sat, 05 Dec 2026 06:33:26 GMT",
                TestCallFormat.CALL_ID + ": " + callId,
                TestCallFormat.SEAL + ": " + seal,
                "Keep-Alive: timeout=5",
                isChunked ? "Transfer-Encoding: chunked" : "Content-Length: " + body.length()));
    Collections.shuffle(headers, new Random(headerOrder));
    return "HTTP/1.1 "
        + (status + " " + (status < 300 ? "OK" : "Some Failure") + "\r\n")
        + (String.join("\r\n", headers) + "\r\n\r\n")
        + (isChunked ? chunks() : body);
  }

  private String chunks() {
    int half = body.length() / 2;
    return chunk(body.substring(0, half)) + chunk(body.substring(half)) + "0\r\n\r\n";
  }

  private static String chunk(String data) {
    return data.isEmpty() ? "" : Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
  }
}
