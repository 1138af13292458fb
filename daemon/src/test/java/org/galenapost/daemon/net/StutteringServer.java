package org.galenapost.daemon.net;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Answers each request with its path, its header {@code Call-Id} and a seal, and paths that begin
 * with {@code /fail} with status 500. From the second answer of a connection on, parts of an
 * earlier answer come with it.
 */
public final class StutteringServer implements AutoCloseable {

  /** The start of a success that is cut in the value of a header. */
  public static final String PART_OF_HEAD = "HTTP/1.1 200 OK\r\nServer: stutt";

  private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final List<Socket> connections = new CopyOnWriteArrayList<>();
  private final String partAfterAnswers;
  private final String partBeforeAnswers;
  private final String partBeforeFirstAnswer;

  /** Starts a server that sends a part before each answer, also the first one of a connection. */
  public static StutteringServer fromFirstAnswerOn(String part) throws IOException {
    return new StutteringServer("", part, part);
  }

  /**
   * Starts a server.
   *
   * @param partAfterAnswers follows each answer
   * @param partBeforeAnswers precedes each answer but the first one of a connection
   */
  public StutteringServer(String partAfterAnswers, String partBeforeAnswers) throws IOException {
    this(partAfterAnswers, partBeforeAnswers, "");
  }

  private StutteringServer(
      String partAfterAnswers, String partBeforeAnswers, String partBeforeFirstAnswer)
      throws IOException {
    this.partAfterAnswers = partAfterAnswers;
    this.partBeforeAnswers = partBeforeAnswers;
    this.partBeforeFirstAnswer = partBeforeFirstAnswer;
    startThread(
        () -> {
          while (true) {
            Socket connection = socket.accept();
            connections.add(connection);
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
    return connections.size();
  }

  /** Writes bytes that no request asked for on the newest connection. */
  public void writeUnrequested(String text) throws IOException {
    write(connections.get(connections.size() - 1), text);
  }

  private void serve(Socket connection) throws IOException {
    BufferedReader requests =
        new BufferedReader(
            new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
    String before = partBeforeFirstAnswer;
    for (String line = requests.readLine(); line != null; line = requests.readLine()) {
      String path = line.split(" ")[1];
      String callId = "Call-Id: none";
      for (String header = requests.readLine(); !header.isEmpty(); header = requests.readLine()) {
        callId = header.toLowerCase(Locale.ROOT).startsWith("call-id:") ? header : callId;
      }
      boolean hasBody = !line.startsWith("HEAD ");
      write(connection, before + answerTo(path, callId, hasBody) + partAfterAnswers);
      before = partBeforeAnswers;
    }
  }

  private static void write(Socket connection, String text) throws IOException {
    connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String answerTo(String path, String callId, boolean hasBody) {
    return (path.startsWith("/fail") ? "HTTP/1.1 500 Failure\r\n" : "HTTP/1.1 200 OK\r\n")
        + (callId + "\r\nSeal: s\r\nContent-Length: " + path.length() + "\r\n\r\n")
        + (hasBody ? path : "");
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
