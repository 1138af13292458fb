package org.galenapost.scenarios.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server that answers each request with bytes of the test's choice, valid or not. */
final class ScriptedServer implements AutoCloseable {

  private static final int BACKLOG = 400;

  private final ServerSocket server;
  private final Answer answer;
  private final Set<Socket> accepted = ConcurrentHashMap.newKeySet();

  ScriptedServer(Answer answer) throws IOException {
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    this.answer = answer;
    start(this::acceptAll);
  }

  /** Writes the answer to one request; it may block until the connection closes. */
  @FunctionalInterface
  interface Answer {
    void write(OutputStream output) throws IOException;
  }

  int port() {
    return server.getLocalPort();
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        Socket connection = server.accept();
        accepted.add(connection);
        start(() -> answerOne(connection));
      } catch (IOException e) {
        // The loop ends with the server socket.
        continue;
      }
    }
  }

  private void answerOne(Socket connection) {
    try {
      BufferedReader request =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
      for (String line = request.readLine(); line != null && !line.isEmpty(); ) {
        line = request.readLine();
      }
      answer.write(connection.getOutputStream());
      connection.getOutputStream().flush();
    } catch (IOException e) {
      // The daemon may close its connection at any time.
      return;
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "scripted-server");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket connection : accepted) {
      connection.close();
    }
  }
}
