package org.galenapost.standins.gateway;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * An HTTP client on one connection that sends arbitrary bytes, valid or not. Not safe for threads.
 */
public final class RawHttpClient implements AutoCloseable {

  private static final int READ_TIMEOUT_MS = 10_000;

  private final Socket socket;
  private final InputStream input;

  /**
   * Connects to a port of the loopback address.
   *
   * @throws IOException if the connection is refused
   */
  public RawHttpClient(int port) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    input = new BufferedInputStream(socket.getInputStream());
  }

  /**
   * An HTTP response.
   *
   * @param status the HTTP status
   * @param headers the headers, with case-insensitive names
   * @param body the body as far as it was received
   * @param isComplete false if the connection closed before the end of the body
   */
  public record Response(int status, Map<String, String> headers, String body, boolean isComplete) {

    /** Returns whether the response carries the id of the call and the seal for that id. */
    public boolean isSealedFor(String callId) {
      return callId.equals(headers.get("X-Attempt-Id"))
          && ServerStandin.sealOf(callId).equals(headers.get("X-Response-Seal"));
    }

    /** Returns whether the response carries a seal. */
    public boolean isSealed() {
      return headers.containsKey("X-Response-Seal");
    }

    /** Returns whether the connection cannot be reused after the response. */
    public boolean closesConnection() {
      return !isComplete || "close".equalsIgnoreCase(headers.get("Connection"));
    }
  }

  /** Sets the maximum time that a read waits for the next byte. */
  public void setReadTimeout(Duration timeout) throws IOException {
    socket.setSoTimeout((int) timeout.toMillis());
  }

  /** Sends text unchanged, encoded as UTF-8. */
  public RawHttpClient send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
    return this;
  }

  /**
   * Reads one response.
   *
   * @throws IOException if the connection closes or a read times out before the headers are
   *     complete
   */
  public Response readResponse() throws IOException {
    return readResponse(body -> false);
  }

  /**
   * Reads one response, or the first chunks of its body.
   *
   * @param isEnough receives the body so far and returns whether to read no more of it
   * @throws IOException if the connection closes or a read times out before the headers are
   *     complete
   */
  public Response readResponse(Predicate<String> isEnough) throws IOException {
    Response head = readHeadResponse();
    return "chunked".equals(head.headers().get("Transfer-Encoding"))
        ? readChunkedBody(head.status(), head.headers(), isEnough)
        : readFixedLengthBody(head.status(), head.headers());
  }

  /**
   * Reads the response to a HEAD request, which has no body.
   *
   * @throws IOException if the connection closes or a read times out before the headers are
   *     complete
   */
  public Response readHeadResponse() throws IOException {
    String statusLine = readLine();
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
    }
    return new Response(Integer.parseInt(statusLine.split(" ")[1]), headers, "", true);
  }

  private Response readFixedLengthBody(int status, Map<String, String> headers) throws IOException {
    int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
    byte[] body = input.readNBytes(length);
    return new Response(
        status, headers, new String(body, StandardCharsets.UTF_8), body.length == length);
  }

  private Response readChunkedBody(
      int status, Map<String, String> headers, Predicate<String> isEnough) throws IOException {
    StringBuilder body = new StringBuilder();
    try {
      for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
        body.append(new String(input.readNBytes(size), StandardCharsets.UTF_8));
        readLine();
        if (isEnough.test(body.toString())) {
          return new Response(status, headers, body.toString(), false);
        }
      }
      readLine();
      return new Response(status, headers, body.toString(), true);
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      return new Response(status, headers, body.toString(), false);
    }
  }

  private int readChunkSize() throws IOException {
    return Integer.parseInt(readLine(), 16);
  }

  /**
   * Waits for the next byte and returns whether the server closed the connection instead.
   *
   * @throws IOException if the read times out or the connection is reset
   */
  public boolean isClosed() throws IOException {
    return input.read() < 0;
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        throw new IOException("connection closed before the end of a line");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.UTF_8);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
