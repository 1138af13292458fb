package org.galenapost.daemon.wiring;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A TCP connection that sends raw bytes, valid HTTP or not. */
final class RawConnection implements AutoCloseable {

  private static final int READ_TIMEOUT_MS = 10_000;
  private static final int SMALL_RECEIVE_BUFFER_BYTES = 4096;

  private final Socket socket = new Socket();

  private RawConnection(int port) throws IOException {
    socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
  }

  static RawConnection to(int port) throws IOException {
    return new RawConnection(port);
  }

  RawConnection send(String text) throws IOException {
    return send(text.getBytes(StandardCharsets.UTF_8));
  }

  RawConnection send(byte[] bytes) throws IOException {
    try {
      socket.getOutputStream().write(bytes);
    } catch (SocketException closedByDaemon) {
      // The daemon may close the connection before it has read all bytes.
    }
    return this;
  }

  RawConnection endOutput() throws IOException {
    try {
      socket.shutdownOutput();
    } catch (SocketException closedByDaemon) {
      // The daemon may have closed the connection first.
    }
    return this;
  }

  /** Reads until the daemon closes the connection. */
  String readToEnd() throws IOException {
    StringBuilder text = new StringBuilder();
    byte[] buffer = new byte[8192];
    try {
      for (int count = read(buffer); count >= 0; count = read(buffer)) {
        text.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
      }
    } catch (SocketException resetByDaemon) {
      // A reset ends the response as well.
    }
    return text.toString();
  }

  /** Reads until the response contains a text. */
  String readUntil(String expectedText) throws IOException {
    StringBuilder text = new StringBuilder();
    byte[] buffer = new byte[8192];
    int searchedChars = 0;
    while (text.indexOf(expectedText, searchedChars) < 0) {
      searchedChars = Math.max(0, text.length() - expectedText.length());
      int count = read(buffer);
      if (count < 0) {
        throw new IOException(
            "the daemon closed the connection before it sent '" + expectedText + "'");
      }
      text.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
    }
    return text.toString();
  }

  private int read(byte[] buffer) throws IOException {
    try {
      return socket.getInputStream().read(buffer);
    } catch (SocketTimeoutException e) {
      throw new IOException(
          "the daemon neither sent data nor closed the connection within the read timeout", e);
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
