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
 * Client for the endpoint list of discovery. Each watch and each fetch is an {@link HttpCall},
 * which reports lists and failures to the controller. Never retries by itself. The event loop of
 * the controller starts calls; the threads of their connections report results.
 */
final class DiscoveryClient {
  private static final String ACCEPTED_TYPE = "application/json";
  private static final int STATUS_OK = 200;

  private final HttpConnector connector;
  private final DiscoveryEvents controller;
  private volatile AssignerConfig config;

  /** Current watch, or null; events of an earlier watch are ignored. */
  private volatile WatchCall currentWatch;

  /** Whether a call has failed and no watch has succeeded since. */
  private volatile boolean unavailable;

  private final RepeatedEvent malformedLists = new RepeatedEvent();
  private final RepeatedEvent tooLongLists = new RepeatedEvent();

  /** Kind of a call, which log lines include. */
  private enum CallKind {
    WATCH,
    FETCH
  }

  /**
   * Creates a client.
   *
   * @param config the address of discovery, the timeouts and the limits on endpoint lists
   * @param controller receives lists and failures
   * @param connector opens the connections
   */
  DiscoveryClient(AssignerConfig config, DiscoveryEvents controller, HttpConnector connector) {
    this.config = config;
    this.controller = controller;
    this.connector = connector;
  }

  /** Applies a reloaded configuration to later calls, and its timeouts to the current watch. */
  void reload(AssignerConfig reloaded) {
    config = reloaded;
  }

  /**
   * Starts a watch and cancels the current one.
   *
   * @param generation the version of the list that the caller has; the watch returns later changes
   */
  void startWatch(long generation) {
    WatchCall watch = new WatchCall(generation);
    setCurrentWatch(watch);
    start(watch);
  }

  /** Cancels the current watch, if there is one. */
  void stopWatch() {
    setCurrentWatch(null);
  }

  private void setCurrentWatch(WatchCall watch) {
    WatchCall previous = currentWatch;
    currentWatch = watch;
    if (previous != null) {
      previous.end(TerminationReason.CANCELLED);
    }
  }

  /** Starts one fetch of the complete list. */
  void fetch() {
    start(new FetchCall());
  }

  private void start(HttpCall call) {
    AssignerConfig current = config;
    Timeouts timeouts = current.timeouts();
    call.start(current.discovery(), (long) timeouts.connectMs() + timeouts.responseMs());
  }

  private void onFailure(CallKind kind, TerminationReason reason, BooleanSupplier isCurrent) {
    if (!unavailable) {
      Logger.warn("discovery lost: {} ended: {}", kind, reason);
    }
    unavailable = true;
    controller.onEndpointListFailed(isCurrent);
  }

  private void logMalformed(String unit, SettingsException fault) {
    malformedLists.record(
        count ->
            Logger.warn("endpoint list rejected: {} unreadable: {}", unit, fault.getMessage()));
  }

  /** Call whose response contains endpoint lists. */
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
        tooLongLists.record(count -> Logger.warn("endpoint list rejected: {}", e.getMessage()));
        end(TerminationReason.TOO_LONG);
      }
    }

    abstract void read(ByteBuffer content) throws EndpointListTooLongException;
  }

  /** Fetch; the response body is the complete list. */
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

  /** Watch; each line of the response is a delta, a complete list or an empty heartbeat. */
  private final class WatchCall extends ListCall {
    private boolean hasReceivedList;

    WatchCall(long generation) {
      super(HttpPaths.watch(generation));
    }

    private boolean isCurrent() {
      return currentWatch == this;
    }

    /** Replaces the deadline of the response with a deadline for each line of it. */
    @Override
    void onHeaders(int status) {
      if (status == STATUS_OK) {
        extendDeadline();
      }
    }

    /**
     * Sets the deadline of the next line. The idle timeout of the connection would not detect a
     * peer that sends single bytes but never completes a line.
     */
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

    /** Returns the position of the next line end, or the limit of the buffer if there is none. */
    private static int findLineEnd(ByteBuffer content) {
      int position = content.position();
      while (position < content.limit() && content.get(position) != '\n') {
        position++;
      }
      return position;
    }

    /**
     * Processes a complete line. Every line except a heartbeat after the first list shows that
     * discovery is available again.
     */
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
      if (unavailable && isCurrent()) {
        unavailable = false;
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
