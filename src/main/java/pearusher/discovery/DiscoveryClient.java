package pearusher.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.tinylog.Logger;
import pearusher.config.AssignerConfig;
import pearusher.control.Controller;
import pearusher.control.OutboundCalls;
import pearusher.policy.LoadReportSource;
import pearusher.protocol.EndpointList;
import pearusher.protocol.EndpointListReader;
import pearusher.protocol.EndpointListTooLongException;
import pearusher.protocol.LoadReportParser;
import pearusher.sitesettings.SettingsException;
import pearusher.transport.ResetAwareEndPoint;
import pearusher.transport.TerminationReason;

/**
 * The client side: calls to discovery (a watch, the whole list) and probes of servers, each on a
 * connection of its own. Every call ends exactly once, with one {@link TerminationReason}, and says
 * so to the exchange. It must never call again by itself: when to ask is the module's.
 */
public final class DiscoveryClient extends SelectorManager implements OutboundCalls {
  private static final int MOST_LOAD = 4 << 10;

  /** What a call is for. */
  private enum Purpose {
    WATCH,
    FETCH,
    PROBE
  }

  private volatile AssignerConfig config;
  private final Controller exchange;
  private final Scheduler scheduler;

  /** The watch that counts; an earlier one's end tells nothing. */
  private volatile Call watch;

  private volatile boolean lost;
  private final AtomicLong unreadable = new AtomicLong();
  private final AtomicLong tooLong = new AtomicLong();

  public DiscoveryClient(
      AssignerConfig config, Controller exchange, Executor executor, Scheduler scheduler) {
    super(executor, scheduler, 1);
    this.config = config;
    this.exchange = exchange;
    this.scheduler = scheduler;
    setConnectTimeout(config.timeouts().connectMs());
  }

  /** Calls from now on go where the new configuration says; those on their way end as they do. */
  public void reload(AssignerConfig now) {
    config = now;
    setConnectTimeout(now.timeouts().connectMs());
  }

  @Override
  public void watchEndpoints(boolean on, long since) {
    Call old = watch;
    Call next = on ? new Call(Purpose.WATCH, -1, "/catalog/members?follow=1&since=" + since) : null;
    watch = next;
    if (old != null) {
      old.finish(TerminationReason.CANCELLED);
    }
    if (next != null) {
      next.dial(config.discovery());
    }
  }

  @Override
  public void fetchEndpoints() {
    new Call(Purpose.FETCH, -1, "/catalog/members").dial(config.discovery());
  }

  @Override
  public void checkHealth(long server, String hostPort) {
    boolean loads = config.settings().loadReportSource() != LoadReportSource.NONE;
    Call call = new Call(Purpose.PROBE, server, loads ? "/_load" : "/ping");
    InetSocketAddress address =
        hostPort == null ? null : pearusher.config.SocketAddresses.parse(hostPort).orElse(null);
    if (address == null) {
      call.finish(TerminationReason.UNREACHABLE);
    } else {
      call.dial(address);
    }
  }

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
    return new ResetAwareEndPoint(channel, selector, key, scheduler);
  }

  @Override
  public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object call) {
    return ((Call) call).connected(endPoint);
  }

  @Override
  protected void connectionFailed(SelectableChannel channel, Throwable failure, Object call) {
    super.connectionFailed(channel, failure, call);
    ((Call) call).finish(TerminationReason.ofConnectFailure(failure));
  }

  /** One request and its answer. */
  private final class Call implements HttpParser.ResponseHandler {
    private final Purpose purpose;
    private final long server;
    private final String path;
    private final long startNs = System.nanoTime();

    /** The body of a probe's answer. */
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** Reads what discovery answers; null for a probe. */
    private final EndpointListReader lists;

    private final HttpParser parser = new HttpParser(this);
    private Scheduler.Task limit;
    private String host;
    private SocketChannel channel;
    private volatile EndPoint endPoint;
    private int status;
    private EndpointList list;
    private float[] load = new float[0];
    private boolean up;
    private boolean finished;

    Call(Purpose purpose, long server, String path) {
      this.purpose = purpose;
      this.server = server;
      this.path = path;
      lists =
          purpose == Purpose.PROBE
              ? null
              : new EndpointListReader(config.names(), config.listLimits());
    }

    void dial(InetSocketAddress to) {
      host = to.getAddress().getHostAddress() + ":" + to.getPort();
      limit =
          scheduler.schedule(
              () -> finish(TerminationReason.TIMED_OUT),
              (long) config.timeouts().connectMs() + config.timeouts().responseMs(),
              TimeUnit.MILLISECONDS);
      getExecutor()
          .execute(
              () -> {
                try {
                  SocketChannel made = SocketChannel.open();
                  synchronized (this) {
                    if (finished) {
                      made.close();
                      return;
                    }
                    channel = made;
                  }
                  made.setOption(StandardSocketOptions.TCP_NODELAY, true);
                  made.configureBlocking(false);
                  if (made.connect(to)) {
                    accept(made, this);
                  } else {
                    DiscoveryClient.this.connect(made, this);
                  }
                } catch (IOException e) {
                  finish(TerminationReason.ofConnectFailure(e));
                }
              });
    }

    Connection connected(EndPoint made) {
      endPoint = made;
      return new Wire(made);
    }

    /** The call's connection, once it is up. */
    private final class Wire extends AbstractConnection {
      Wire(EndPoint endPoint) {
        super(endPoint, DiscoveryClient.this.getExecutor());
      }

      @Override
      public void onOpen() {
        super.onOpen();
        try {
          getEndPoint()
              .write(
                  Callback.from(() -> {}, e -> finish(TerminationReason.ofFailure(e))), request());
          fillInterested();
        } catch (IOException e) {
          finish(TerminationReason.ofFailure(e));
        }
      }

      @Override
      public void onFillable() {
        ByteBuffer buffer = ByteBuffer.allocate(16 << 10);
        try {
          while (!done()) {
            buffer.clear().flip();
            int n = getEndPoint().fill(buffer);
            if (n < 0) {
              parser.atEOF();
              parser.parseNext(buffer);
              finish(TerminationReason.CLOSED);
              return;
            }
            if (n == 0) {
              fillInterested();
              return;
            }
            while (buffer.hasRemaining() && !done()) {
              parser.parseNext(buffer);
            }
          }
        } catch (IOException e) {
          finish(TerminationReason.RESET);
        } catch (RuntimeException e) {
          finish(TerminationReason.MALFORMED);
        }
      }

      @Override
      protected boolean onReadTimeout(TimeoutException timeout) {
        finish(TerminationReason.TIMED_OUT);
        return false;
      }

      @Override
      public void onFillInterestedFailed(Throwable cause) {
        if (!(cause instanceof TimeoutException)) {
          finish(TerminationReason.ofFailure(cause));
        }
        super.onFillInterestedFailed(cause);
      }

      @Override
      public void onClose(Throwable cause) {
        super.onClose(cause);
        finish(cause == null ? TerminationReason.CLOSED : TerminationReason.ofFailure(cause));
      }
    }

    private ByteBuffer request() throws IOException {
      HttpFields fields =
          HttpFields.build()
              .put(HttpHeader.HOST, host)
              .put(HttpHeader.ACCEPT, purpose == Purpose.PROBE ? "text/plain" : "application/json");
      MetaData.Request request =
          new MetaData.Request("GET", HttpURI.from(path), HttpVersion.HTTP_1_1, fields, 0);
      HttpGenerator generator = new HttpGenerator();
      ByteBuffer header = ByteBuffer.allocate(2048);
      header.flip();
      generator.generateRequest(request, header, null, null, true);
      return header;
    }

    private synchronized boolean done() {
      return finished;
    }

    /** Ends the call, once: what it brought, or how it failed, goes to the exchange. */
    void finish(TerminationReason ending) {
      synchronized (this) {
        if (finished) {
          return;
        }
        finished = true;
      }
      synchronized (this) {
        if (limit != null) {
          limit.cancel();
        }
      }
      getExecutor().execute(this::hangUp);
      if (purpose == Purpose.PROBE) {
        exchange.onHealthCheckResult(
            server, ending.healthCheckResult(), (System.nanoTime() - startNs) / 1000, load);
      } else if (ending != TerminationReason.CANCELLED
          && (purpose == Purpose.FETCH || watch == this)) {
        if (ending.isCompleted() && list != null) {
          exchange.onEndpointList(list, false);
        } else {
          if (!lost) {
            Logger.warn("discovery lost: {} ended: {}", purpose, ending);
          }
          lost = true;
          exchange.onEndpointListFailed(() -> purpose == Purpose.FETCH || watch == this);
        }
      }
    }

    private void hangUp() {
      EndPoint up = endPoint;
      try {
        if (up != null) {
          up.close();
        }
        synchronized (this) {
          if (channel != null) {
            channel.close();
          }
        }
      } catch (IOException e) {
        Logger.debug(e);
      }
    }

    // The parser's answers.

    @Override
    public void startResponse(HttpVersion version, int code, String reason) {
      status = code;
    }

    @Override
    public void parsedHeader(HttpField field) {}

    @Override
    public boolean headerComplete() {
      if (purpose == Purpose.WATCH && status == 200) {
        // From here on it may last; its beats are what must not stay out.
        lineDue();
      }
      return false;
    }

    @Override
    public boolean content(ByteBuffer part) {
      if (purpose == Purpose.PROBE) {
        load(part);
      } else if (status == 200) {
        list(part);
      }
      part.position(part.limit());
      return false;
    }

    private void load(ByteBuffer part) {
      if (body.size() + part.remaining() > MOST_LOAD) {
        finish(TerminationReason.TOO_LONG);
        return;
      }
      while (part.hasRemaining()) {
        body.write(part.get());
      }
    }

    /** Hands a part of a list to its reader, a watch's line by line. */
    private void list(ByteBuffer part) {
      try {
        while (part.hasRemaining() && !done()) {
          int lineEnd = purpose == Purpose.WATCH ? lineEnd(part) : -1;
          int end = lineEnd < 0 ? part.limit() : lineEnd;
          lists.feed(part.duplicate().limit(end));
          part.position(end);
          if (lineEnd >= 0) {
            part.get();
            line();
          }
        }
      } catch (EndpointListTooLongException e) {
        // The same list comes again at each call: told at 1, 2, 4, 8 ...
        if (Long.bitCount(tooLong.incrementAndGet()) == 1) {
          Logger.warn("discovery: a list of {}", e.getMessage());
        }
        finish(TerminationReason.TOO_LONG);
      }
    }

    private int lineEnd(ByteBuffer part) {
      for (int at = part.position(); at < part.limit(); at++) {
        if (part.get(at) == '\n') {
          return at;
        }
      }
      return -1;
    }

    /**
     * The next line of a watch must be whole in time. Guards against one that brings a byte now and
     * then: it is never idle, and would never tell anything again.
     */
    private void lineDue() {
      synchronized (this) {
        limit.cancel();
        if (!finished) {
          limit =
              scheduler.schedule(
                  () -> finish(TerminationReason.TIMED_OUT),
                  config.timeouts().idleMs(),
                  TimeUnit.MILLISECONDS);
        }
      }
    }

    /** A line of a watch; an empty one is a beat. */
    private void line() {
      lineDue();
      try {
        EndpointList told = lists.endOfLine().orElse(null);
        if (told == null && up) {
          return;
        }
        if (told != null) {
          exchange.onEndpointList(told, !up, () -> watch == this);
        }
        up |= told != null;
        if (lost && watch == this) {
          lost = false;
          Logger.info("discovery back");
        }
      } catch (SettingsException e) {
        unreadable("line", e);
        finish(TerminationReason.MALFORMED);
      }
    }

    /** It may say the same at each call: told at 1, 2, 4, 8 ... */
    private void unreadable(String what, SettingsException why) {
      if (Long.bitCount(unreadable.incrementAndGet()) == 1) {
        Logger.warn("discovery: a {} can't be read: {}", what, why.getMessage());
      }
    }

    @Override
    public boolean contentComplete() {
      return false;
    }

    @Override
    public boolean messageComplete() {
      if (done()) {
        return true;
      }
      TerminationReason ending = TerminationReason.ofStatus(status);
      if (ending.isCompleted()) {
        try {
          if (purpose == Purpose.FETCH) {
            list = lists.endOfBody();
          } else if (purpose == Purpose.PROBE) {
            load = new LoadReportParser(config.names()).parseHealthCheckBody(body.toByteArray());
          } else {
            ending = TerminationReason.CLOSED;
          }
        } catch (SettingsException e) {
          unreadable("list", e);
          ending = TerminationReason.MALFORMED;
        }
      }
      finish(ending);
      return true;
    }

    @Override
    public void earlyEOF() {
      finish(TerminationReason.CLOSED);
    }

    @Override
    public void badMessage(HttpException failure) {
      finish(TerminationReason.MALFORMED);
    }
  }
}
