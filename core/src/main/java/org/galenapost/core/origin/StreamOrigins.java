package org.galenapost.core.origin;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.galenapost.core.hashing.Rendezvous;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.peer.PeerCalls;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;

/**
 * Knows where streams began, so that any daemon can resume a stream at the software version that
 * began it after the daemon that served it is gone. A daemon tells each stream that it begins to a
 * constant number of others, chosen by rendezvous hashing of the stream's id, and asks those when a
 * caller resumes a stream that it does not know. Not safe for use by several threads.
 */
public final class StreamOrigins {

  /** A caller that resumes a stream cannot name a longer id, and memory is kept for each stream. */
  private static final int MAX_ID_LENGTH = 64;

  /** Several daemons may be lost at once; each one more costs a message per stream. */
  static final int HOLDERS = 4;

  /** Daemons that joined since the stream began may rank before its holders. */
  private static final int ADDITIONALLY_ASKED = 2;

  /** Many round trips, and less than a reader notices between two events. */
  private static final Duration REPLY_TIMEOUT = Duration.ofMillis(200);

  private static final int MAX_ROUNDS = 2;

  /** Covers the delay of messages and of callers that return at the end of their time. */
  private static final Duration LIFETIME_MARGIN = Duration.ofSeconds(5);

  private static final Duration CLEANING_PERIOD = Duration.ofSeconds(5);

  private final PeerBus bus;
  private final Scheduler scheduler;
  private final KnownOrigins known;
  private final PeerCalls<StreamOriginMessage.Reply> calls;
  private boolean isRunning;

  /**
   * Creates a directory without origins.
   *
   * @param bus the bus to all daemons
   * @param scheduler runs timeouts and the periodic cleaning
   * @param clock measures how long an origin is kept
   */
  public StreamOrigins(PeerBus bus, Scheduler scheduler, MonotonicClock clock) {
    this.bus = bus;
    this.scheduler = scheduler;
    this.known = new KnownOrigins(clock);
    this.calls = new PeerCalls<>(bus, scheduler, StreamOriginMessage.Reply.class, REPLY_TIMEOUT);
  }

  /** Starts to keep and tell the origins of other daemons' streams. */
  public void start() {
    isRunning = true;
    bus.onMessage(StreamOriginMessage.Announcement.class, (sender, told) -> keep(told));
    bus.onMessage(
        StreamOriginMessage.Query.class,
        (sender, query) ->
            bus.send(
                sender,
                new StreamOriginMessage.Reply(query.requestId(), known.find(query.stream()))));
    scheduler.schedule(CLEANING_PERIOD, this::clean);
  }

  /** Stops the periodic cleaning. */
  public void stop() {
    isRunning = false;
  }

  private void keep(StreamOriginMessage.Announcement told) {
    known.put(told.stream(), told.origin(), Duration.ofMillis(told.lifetimeMs()));
  }

  private void clean() {
    if (isRunning) {
      known.removeExpired();
      scheduler.schedule(CLEANING_PERIOD, this::clean);
    }
  }

  /**
   * Records where a stream began and tells the daemons that hold its origin.
   *
   * @param stream the id of the caller's attempt that brought the first event
   * @param origin where the stream began
   * @param callerTime how long the caller may still wait for the stream
   */
  public void record(String stream, StreamOrigin origin, Duration callerTime) {
    Duration lifetime = callerTime.plus(LIFETIME_MARGIN);
    known.put(stream, origin, lifetime);
    StreamOriginMessage.Announcement announcement =
        new StreamOriginMessage.Announcement(stream, origin, lifetime.toMillis());
    holders(stream, HOLDERS).forEach(daemon -> bus.send(daemon, announcement));
  }

  /** Returns whether a caller can name the id of a stream to resume it. */
  public static boolean isNameable(String stream) {
    return stream.length() <= MAX_ID_LENGTH;
  }

  /** Keeps an origin that another daemon recorded, without telling others. */
  void learn(String stream, StreamOrigin origin, Duration lifetime) {
    known.putIfAbsent(stream, origin, lifetime);
  }

  /** Returns where a stream began, if this daemon knows it. */
  public Optional<StreamOrigin> known(String stream) {
    return known.find(stream);
  }

  private List<String> holders(String stream, int count) {
    return Rendezvous.rank(stream, bus.livePeerIds(), id -> id).stream().limit(count).toList();
  }

  /**
   * Finds out where a stream began.
   *
   * @param stream the id of the caller's attempt that brought the first event
   * @param onResult receives the result once, at once or after at most 400 ms
   */
  public void find(String stream, Consumer<Result> onResult) {
    Optional<StreamOrigin> own = known.find(stream);
    if (own.isPresent()) {
      onResult.accept(new Result(own, true));
    } else {
      new Search(stream, onResult).ask(holders(stream, HOLDERS + ADDITIONALLY_ASKED));
    }
  }

  /** Returns the number of origins that this daemon knows. */
  public int count() {
    return known.size();
  }

  /**
   * The result of a search.
   *
   * @param origin where the stream began; empty if no daemon that replied knows it
   * @param isComplete whether every daemon that was asked replied or the origin was found
   */
  public record Result(Optional<StreamOrigin> origin, boolean isComplete) {}

  /** Asks the holders of one stream at once, and those that did not reply once more. */
  private final class Search {

    private final String stream;
    private final Consumer<Result> onResult;
    private final Set<String> silent = new HashSet<>();
    private int pendingReplies;
    private int rounds;
    private boolean isEnded;

    Search(String stream, Consumer<Result> onResult) {
      this.stream = stream;
      this.onResult = onResult;
    }

    void ask(List<String> daemons) {
      if (daemons.isEmpty()) {
        end(Optional.empty());
        return;
      }
      rounds++;
      silent.clear();
      pendingReplies = daemons.size();
      for (String daemon : daemons) {
        calls
            .call(daemon, id -> new StreamOriginMessage.Query(id, stream))
            .thenAccept(reply -> onReply(daemon, reply));
      }
    }

    private void onReply(String daemon, Optional<StreamOriginMessage.Reply> reply) {
      pendingReplies--;
      if (reply.isEmpty()) {
        silent.add(daemon);
      }
      Optional<StreamOrigin> origin = reply.flatMap(StreamOriginMessage.Reply::origin);
      if (origin.isPresent()) {
        end(origin);
      } else if (pendingReplies == 0 && !isEnded) {
        askSilentAgain();
      }
    }

    private void askSilentAgain() {
      List<String> remaining = silent.stream().filter(bus.livePeerIds()::contains).toList();
      if (rounds < MAX_ROUNDS) {
        ask(remaining);
      } else {
        end(Optional.empty());
      }
    }

    private void end(Optional<StreamOrigin> origin) {
      if (!isEnded) {
        isEnded = true;
        boolean haveAllReplied = rounds > 0 && silent.isEmpty();
        onResult.accept(new Result(origin, origin.isPresent() || haveAllReplied));
      }
    }
  }
}
