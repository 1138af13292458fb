package org.galenapost.scenarios.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.galenapost.scenarios.process.ManagedProcess;

/** Connections that send bytes, read nothing and stay open until they are closed together. */
final class HeldConnections implements AutoCloseable {

  /** Writes that the process does not read block; they end when the connections close. */
  private static final Duration WRITE_WAIT = Duration.ofSeconds(4);

  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final ExecutorService writers =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "held-connection");
            thread.setDaemon(true);
            return thread;
          });

  /**
   * Opens connections that each send the same parts, with a pause after each part. A connection
   * that the process refuses or closes is left out, since it may do so.
   */
  void open(int port, int count, Duration pause, byte[]... parts) {
    for (int i = 0; i < count; i++) {
      writers.execute(() -> connectAndSend(port, pause, parts));
    }
  }

  private void connectAndSend(int port, Duration pause, byte[]... parts) {
    try {
      Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
      sockets.add(socket);
      for (byte[] part : parts) {
        socket.getOutputStream().write(part);
        ManagedProcess.pause(pause);
      }
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
    writers.shutdownNow();
    for (Socket socket : sockets) {
      try {
        socket.close();
      } catch (IOException e) {
        continue;
      }
    }
  }
}
