package pearusher.discovery;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;
import pearusher.config.AssignerConfig;
import pearusher.config.Timeouts;
import pearusher.control.DiscoveryEvents;
import pearusher.logging.RepeatedEvent;
import pearusher.protocol.EndpointList;
import pearusher.protocol.EndpointListReader;
import pearusher.protocol.EndpointListTooLongException;
import pearusher.protocol.HttpPaths;
import pearusher.sitesettings.SettingsException;
import pearusher.transport.TerminationReason;

/**
 * Watches and polls discovery's list of servers, each with an {@link HttpCall}, and reports lists
 * and failures to the controller. It never calls again by itself. The event loop of the controller
 * starts calls, the threads of their connections report; it grows with the calls in flight.
 */
final class DiscoveryClient {
  private static final String ACCEPTED_TYPE = "application/json";
  private static final int STATUS_OK = 200;

  private final HttpConnector connector;
  private final DiscoveryEvents controller;
  private volatile AssignerConfig config;

  /** The current watch, or null; events of an earlier one are ignored. */
  private volatile WatchCall currentWatch;

  /** Whether a call has failed and no watch has succeeded since. */
  private volatile boolean lost;

  private final RepeatedEvent malformedLists = new RepeatedEvent();
  private final RepeatedEvent tooLongLists = new RepeatedEvent();

  /** What a call is for, as log lines name it. */
  private enum CallKind {
    WATCH,
    FETCH
  }

  /**
   * Creates a client.
   *
   * @param config the address of discovery, the timeouts and the limits on lists
   * @param controller receives lists and failures
   * @param connector opens the connections
   */
  DiscoveryClient(AssignerConfig config, DiscoveryEvents controller, HttpConnector connector) {
    this.config = config;
    this.controller = controller;
    this.connector = connector;
  }

  /** Applies the address and the timeouts of a reloaded configuration to the next calls. */
  void reload(AssignerConfig reloaded) {
    config = reloaded;
  }

  /**
   * Starts a watch in place of the current one.
   *
   * @param generation the version of the list after which changes are wanted
   */
  void startWatch(long generation) {
    WatchCall next = new WatchCall(generation);
    replaceWatch(next);
    start(next);
  }

  /** Stops the current watch, if there is one. */
  void stopWatch() {
    replaceWatch(null);
  }

  private void replaceWatch(WatchCall next) {
    WatchCall previous = currentWatch;
    currentWatch = next;
    if (previous != null) {
      previous.end(TerminationReason.CANCELLED);
    }
  }

  /** Fetches the complete list once. */
  void fetch() {
    start(new FetchCall());
  }

  private void start(HttpCall call) {
    AssignerConfig current = config;
    Timeouts timeouts = current.timeouts();
    call.start(current.discovery(), (long) timeouts.connectMs() + timeouts.responseMs());
  }

  private void onFailure(CallKind kind, TerminationReason reason, BooleanSupplier isCurrent) {
    if (!lost) {
      Logger.warn("discovery lost: {} ended: {}", kind, reason);
    }
    lost = true;
    controller.onEndpointListFailed(isCurrent);
  }

  private void logMalformed(String unit, SettingsException fault) {
    malformedLists.record(
        count -> Logger.warn("discovery: a {} can't be read: {}", unit, fault.getMessage()));
  }

  /** A call whose response contains lists of servers. */
  private abstract class ListCall extends HttpCall {
    final EndpointListReader reader;

    ListCall(String path) {
      super(connector, path, ACCEPTED_TYPE);
      reader = new EndpointListReader(config.names(), config.listLimits());
    }

    @Override
    final void onContent(int status, ByteBuffer content) {
      if (status != STATUS_OK) {
        return;
      }
      try {
        read(content);
      } catch (EndpointListTooLongException e) {
        tooLongLists.record(count -> Logger.warn("discovery: a list of {}", e.getMessage()));
        end(TerminationReason.TOO_LONG);
      }
    }

    abstract void read(ByteBuffer content) throws EndpointListTooLongException;
  }

  /** A poll: the body of its response is the complete list. */
  private final class FetchCall extends ListCall {
    private Optional<EndpointList> list = Optional.empty();

    FetchCall() {
      super(HttpPaths.ENDPOINT_LIST);
    }

    @Override
    void read(ByteBuffer content) throws EndpointListTooLongException {
      if (!isEnded()) {
        reader.feed(content);
      }
    }

    @Override
    TerminationReason onSuccess() {
      try {
        list = Optional.of(reader.endOfBody());
        return TerminationReason.COMPLETED;
      } catch (SettingsException e) {
        logMalformed("list", e);
        return TerminationReason.MALFORMED;
      }
    }

    @Override
    void onEnd(TerminationReason reason) {
      if (reason.isCompleted() && list.isPresent()) {
        controller.onEndpointList(list.get(), false);
      } else {
        onFailure(CallKind.FETCH, reason, () -> true);
      }
    }
  }

  /** A watch: each line of its response is a list of changes, a complete list or a heartbeat. */
  private final class WatchCall extends ListCall {
    private boolean hasReceivedList;

    WatchCall(long generation) {
      super(HttpPaths.watch(generation));
    }

    private boolean isCurrent() {
      return currentWatch == this;
    }

    /** From here on the response may last; each line of it has a time limit of its own. */
    @Override
    void onHeaders(int status) {
      if (status == STATUS_OK) {
        extendDeadline();
      }
    }

    /** Sets the time limit of the next line: a watch that sends single bytes is never idle. */
    private void extendDeadline() {
      setDeadline(config.timeouts().idleMs());
    }

    @Override
    void read(ByteBuffer content) throws EndpointListTooLongException {
      while (content.hasRemaining() && !isEnded()) {
        int lineEnd = findLineEnd(content);
        boolean completesLine = lineEnd < content.limit();
        reader.feed(content.duplicate().limit(lineEnd));
        content.position(lineEnd);
        if (completesLine) {
          content.get();
          onLine();
        }
      }
    }

    /** Returns the position of the next end of a line, or the limit if there is none. */
    private static int findLineEnd(ByteBuffer content) {
      int position = content.position();
      while (position < content.limit() && content.get(position) != '\n') {
        position++;
      }
      return position;
    }

    private void onLine() {
      extendDeadline();
      try {
        Optional<EndpointList> list = reader.endOfLine();
        list.ifPresent(this::onList);
        boolean isHeartbeat = list.isEmpty() && hasReceivedList;
        if (!isHeartbeat) {
          onDiscoveryAvailable();
        }
      } catch (SettingsException e) {
        logMalformed("line", e);
        end(TerminationReason.MALFORMED);
      }
    }

    private void onList(EndpointList list) {
      boolean isFirst = !hasReceivedList;
      controller.onEndpointList(list, isFirst, this::isCurrent);
      hasReceivedList = true;
    }

    private void onDiscoveryAvailable() {
      if (lost && isCurrent()) {
        lost = false;
        Logger.info("discovery recovered");
      }
    }

    @Override
    TerminationReason onSuccess() {
      return TerminationReason.CLOSED;
    }

    @Override
    void onEnd(TerminationReason reason) {
      if (reason != TerminationReason.CANCELLED && isCurrent()) {
        onFailure(CallKind.WATCH, reason, this::isCurrent);
      }
    }
  }
}
