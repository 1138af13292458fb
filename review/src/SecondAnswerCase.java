import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers that are full for moments reject requests. Some of them give a second answer to a few of the
 * requests; it arrives late, where the next response is expected, and names its request.
 */
final class SecondAnswerCase {

  private static final int SERVERS = 3;
  private static final int SPOILED_SERVERS = 1;
  private static final double SPOILED_SHARE = 0.03;
  private static final int GATEWAYS = 3;
  private static final int RUN_S = 60;
  private static final int FULL_EVERY_MS = 150;
  private static final int FULL_MS = 30;
  private static final int WORK_MS = 25;
  private static final long DEADLINE_MS = 1_500;

  private final Rig rig;
  private final Map<String, Queue<String>> runs = new ConcurrentHashMap<>();
  private final Map<String, String> answers = new ConcurrentHashMap<>();
  private final Map<Object, String> secondAnswers = new ConcurrentHashMap<>();
  private final Map<Object, String> secondAnswerIds = new ConcurrentHashMap<>();
  private final AtomicInteger rejections = new AtomicInteger();
  private final AtomicInteger spoiled = new AtomicInteger();
  private final Random random = new Random(33);
  private final long startNanos = System.nanoTime();

  private SecondAnswerCase(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) {
    Rig.run(args, rig -> new SecondAnswerCase(rig).isBroken());
  }

  private boolean isBroken() throws IOException {
    for (int i = 1; i <= SERVERS; i++) {
      boolean isSpoiled = rig.isTroubled && i <= SPOILED_SERVERS;
      rig.server("i-" + i, "app", (self, request, socket, in, out) -> answer(self, isSpoiled, request, socket, in, out))
          .register();
    }
    rig.store.put(
        "config",
        "main",
        Rig.config(
            1, Rig.route("receipts", "/receipts/", "unsafe", "app", DEADLINE_MS, false), Rig.service("app")));
    List<Rig.Gateway> gateways = new ArrayList<>();
    for (int i = 1; i <= GATEWAYS; i++) {
      gateways.add(rig.gateway("front-" + i));
    }
    for (Rig.Gateway gateway : gateways) {
      gateway.start(gateways);
    }
    for (Rig.Gateway gateway : gateways) {
      gateway.awaitReady();
    }
    Rig.sleep(3_000);
    AtomicBoolean isOver = new AtomicBoolean();
    List<Thread> clients = new ArrayList<>();
    for (int i = 1; i <= GATEWAYS; i++) {
      String name = "client-" + i;
      int port = gateways.get(i - 1).port;
      clients.add(Rig.start(name, () -> send(port, name, isOver)));
    }
    Rig.sleep(RUN_S * 1_000);
    isOver.set(true);
    for (Thread client : clients) {
      try {
        client.join(5_000);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
    Rig.sleep(500);
    int twice = 0;
    for (Map.Entry<String, Queue<String>> run : runs.entrySet()) {
      if (run.getValue().size() > 1) {
        twice++;
        rig.note(run.getKey() + " has run " + run.getValue().size() + " times: " + run.getValue() + ", its client got "
            + answers.get(run.getKey()));
      }
    }
    rig.note(answers.size() + " unsafe requests, " + rejections + " rejections by full servers, " + spoiled
        + " second answers, " + twice + " requests that ran more than once");
    return twice > 0;
  }

  private boolean isFull() {
    return (System.nanoTime() - startNanos) / 1_000_000 % FULL_EVERY_MS < FULL_MS;
  }

  private boolean answer(
      Rig.Server self,
      boolean isSpoiled,
      Rig.Head request,
      java.net.Socket socket,
      java.io.InputStream in,
      java.io.OutputStream out)
      throws IOException {
    Rig.skip(in, Math.max(0, request.length()));
    String id = request.get("X-Attempt-Id");
    String late = secondAnswers.remove(socket);
    if (late != null) {
      String of = secondAnswerIds.remove(socket);
      if (of.equals(id)) {
        rig.note(self.id + " sends its second answer to " + of + ", which has come again on this channel");
      }
      out.write(Rig.bytes(late));
      out.flush();
      Rig.sleep(2);
    }
    String answer;
    if (isFull()) {
      rejections.incrementAndGet();
      answer = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + id
          + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    } else {
      runs.computeIfAbsent(id, key -> new ConcurrentLinkedQueue<>()).add(self.id);
      Rig.sleep(WORK_MS);
      answer = Rig.okHead(request, "Content-Length: 2\r\n") + "ok";
    }
    out.write(Rig.bytes(answer));
    out.flush();
    synchronized (random) {
      if (isSpoiled && random.nextDouble() < SPOILED_SHARE) {
        spoiled.incrementAndGet();
        secondAnswers.put(socket, answer);
        secondAnswerIds.put(socket, id);
      }
    }
    return true;
  }

  private void send(int port, String name, AtomicBoolean isOver) throws IOException {
    try (Rig.Client client = new Rig.Client(port)) {
      for (int i = 1; !isOver.get(); i++) {
        String id = name + "-request-" + i;
        client.send(Rig.Client.head("POST", "/receipts/1", id, DEADLINE_MS, "Content-Length: 0\r\n"));
        Rig.Head head = Rig.readHead(client.in);
        if (head == null) {
          answers.put(id, "a closed channel");
          rig.note(name + " ends: its channel was closed");
          return;
        }
        Rig.skip(client.in, Math.max(0, head.length()));
        answers.put(id, head.first);
        Rig.sleep(5);
      }
    }
  }
}
