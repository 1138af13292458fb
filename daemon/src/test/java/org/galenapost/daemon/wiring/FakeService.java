package org.galenapost.daemon.wiring;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/** A plain service that reads each request and then answers or closes the connection. */
final class FakeService implements AutoCloseable {

  private static final String NO_RESPONSE = "";

  final List<String> requestHeads = new CopyOnWriteArrayList<>();
  private final ServerSocket listener;
  private final String response;
  private final CountDownLatch mayRespond;

  private FakeService(String answer, CountDownLatch mayAnswer) throws IOException {
    this.response = answer;
    this.mayRespond = mayAnswer;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::serve, "fake-service");
    thread.setDaemon(true);
    thread.start();
  }

  static FakeService respondingWith(int status, String body) throws IOException {
    return respondingAfter(new CountDownLatch(0), status, body);
  }

  static FakeService respondingAfter(CountDownLatch mayAnswer, int status, String body)
      throws IOException {
    return new FakeService(
        "HTTP/1.1 "
            + status
            + " X\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body,
        mayAnswer);
  }

  static FakeService closingAfterRequest() throws IOException {
    return new FakeService(NO_RESPONSE, new CountDownLatch(0));
  }

  int port() {
    return listener.getLocalPort();
  }

  private void serve() {
    while (!listener.isClosed()) {
      try (Socket socket = listener.accept()) {
        requestHeads.add(readRequestHead(socket));
        mayRespond.await();
        socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (IOException e) {
        // A closed listener ends the loop; a broken connection is followed by the next one.
      }
    }
  }

  private static String readRequestHead(Socket socket) throws IOException {
    BufferedReader reader =
        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    StringBuilder head = new StringBuilder();
    int bodyLength = 0;
    for (String line = reader.readLine(); line != null && !line.isEmpty(); ) {
      head.append(line).append('\n');
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        bodyLength = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
      line = reader.readLine();
    }
    reader.read(new char[Math.max(1, bodyLength)], 0, bodyLength);
    return head.toString();
  }

  @Override
  public void close() {
    try {
      listener.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
