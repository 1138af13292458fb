package org.galenapost.scenarios.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.galenapost.scenarios.process.ManagedProcess;

/** Clients that misbehave on their connections, until all are closed together. */
final class MisbehavingClients implements AutoCloseable {

  /** Writes that the process does not read block; they end when the connections close. */
  private static final Duration WRITE_WAIT = Duration.ofSeconds(4);

  /** Makes what a caller leaves unread stay with the process instead of the system. */
  private static final int SMALL_WINDOW_BYTES = 4_096;

  private static final int MAX_ANSWER_BYTES = 256;

  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final ExecutorService writers =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "misbehaving-client");
            thread.setDaemon(true);
            return thread;
          });
  private volatile boolean isClosed;

  /**
   * Opens connections that each send the same parts, with a pause after each part, read nothing and
   * stay open. A connection that the process refuses or closes is left out, since it may do so.
   */
  void open(int port, int count, Duration pause, byte[]... parts) {
    start(
        count,
        () -> {
          Socket socket = connect(port);
          for (byte[] part : parts) {
            socket.getOutputStream().write(part);
            ManagedProcess.pause(pause);
          }
        });
  }

  /** Opens connections that each send a part again and again until they block, and read nothing. */
  void keepSending(int port, int count, byte[] part) {
    start(
        count,
        () -> {
          Socket socket = connectWithSmallWindow(port);
          while (!isClosed) {
            socket.getOutputStream().write(part);
          }
        });
  }

  /** Opens connections that each send a part and have the system receive little of the answer. */
  void openWithSmallWindow(int port, int count, byte[] part) {
    start(count, () -> connectWithSmallWindow(port).getOutputStream().write(part));
  }

  /**
   * Makes callers that send a request, close the connection after the beginning of the answer or
   * with it, and come back at once.
   */
  void keepReturning(int port, int count, Supplier<byte[]> request) {
    start(
        count,
        () -> {
          while (!isClosed) {
            returnOnce(port, request.get());
          }
        });
  }

  private void returnOnce(int port, byte[] request) {
    try (Socket socket = connect(port)) {
      socket.getOutputStream().write(request);
      socket.getInputStream().read(new byte[MAX_ANSWER_BYTES]);
      sockets.remove(socket);
    } catch (IOException e) {
      // The process may refuse or close the connection; the caller comes back.
      return;
    }
  }

  private Socket connect(int port) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    sockets.add(socket);
    if (isClosed) {
      socket.close();
    }
    return socket;
  }

  private Socket connectWithSmallWindow(int port) throws IOException {
    Socket socket = new Socket();
    sockets.add(socket);
    socket.setReceiveBufferSize(SMALL_WINDOW_BYTES);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    return socket;
  }

  private void start(int count, Caller caller) {
    for (int i = 0; i < count; i++) {
      writers.execute(() -> runUntilClosed(caller));
    }
  }

  private static void runUntilClosed(Caller caller) {
    try {
      caller.run();
    } catch (IOException e) {
      // The process may close the connection; the checks of the test are on the process.
      return;
    }
  }

  /** Waits until all is sent, or until the process has not read it for some time. */
  void awaitSent() {
    writers.shutdown();
    try {
      writers.awaitTermination(WRITE_WAIT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    isClosed = true;
    writers.shutdownNow();
    for (Socket socket : sockets) {
      try {
        socket.close();
      } catch (IOException e) {
        continue;
      }
    }
  }

  /** What one caller does on its connections. */
  @FunctionalInterface
  private interface Caller {
    void run() throws IOException;
  }
}
