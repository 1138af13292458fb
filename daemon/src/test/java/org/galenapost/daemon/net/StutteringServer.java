package org.galenapost.daemon.net;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Answers each request with its path, and paths that begin with {@code /fail} with status 500. From
 * the second answer of a connection on, parts of an earlier answer come with it.
 */
public final class StutteringServer implements AutoCloseable {

  /** The start of a success that is cut in the value of a header. */
  public static final String PART_OF_HEAD = "HTTP/1.1 200 OK\r\nServer: stutt";

  private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final AtomicInteger connectionCount = new AtomicInteger();
  private final String partAfterAnswers;
  private final String partBeforeAnswers;

  /**
   * Starts a server.
   *
   * @param partAfterAnswers follows each answer
   * @param partBeforeAnswers precedes each answer but the first one of a connection
   */
  public StutteringServer(String partAfterAnswers, String partBeforeAnswers) throws IOException {
    this.partAfterAnswers = partAfterAnswers;
    this.partBeforeAnswers = partBeforeAnswers;
    startThread(
        () -> {
          while (true) {
            Socket connection = socket.accept();
            connectionCount.incrementAndGet();
            startThread(() -> serve(connection));
          }
        });
  }

  /** Returns the port on the loopback address. */
  public int port() {
    return socket.getLocalPort();
  }

  /** Returns the number of connections accepted so far. */
  public int connectionCount() {
    return connectionCount.get();
  }

  private void serve(Socket connection) throws IOException {
    BufferedReader requests =
        new BufferedReader(
            new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
    String before = "";
    for (String line = requests.readLine(); line != null; line = requests.readLine()) {
      if (line.startsWith("GET ")) {
        String answer = before + answerTo(line.split(" ")[1]) + partAfterAnswers;
        connection.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
        before = partBeforeAnswers;
      }
    }
  }

  private static String answerTo(String path) {
    String status = path.startsWith("/fail") ? "500 Failure" : "200 OK";
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + path.length() + "\r\n\r\n" + path;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /** A task that ends when its socket closes. */
  private interface SocketTask {
    void run() throws IOException;
  }

  private static void startThread(SocketTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The socket was closed, which ends the task.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
