package org.corianderweir.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.ICloseType;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;
import org.jspecify.annotations.Nullable;

/**
 * The requests of one connection in the order of their arrival. Starts them, those that may be
 * repeated beside each other, and sends the responses in the order of the requests (RFC 9112,
 * section 9.3.2). Thread-safe; foreign code is called without the lock.
 */
final class CallerPipeline implements CloseListener<Closeable, ICloseType> {
  /** Requests of a connection that are read before the first of them is answered. */
  static final int REQUEST_LIMIT = 16;

  /**
   * Bytes of the objects of a request that is read ahead, besides the text of its head. Heap dumps
   * of 1,100 to 2,800 such requests had 0.9 to 1.0 kB for each.
   */
  private static final int EXCHANGE_BYTES = 1024;

  private static final Attribute<CallerPipeline> PIPELINE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("corianderweir.http.pipeline");

  private final Connection<?> connection;
  private final ListenerContext listener;
  private final ReadAhead readAhead;
  private final RequestReader reader;
  private final Deque<CallerExchange> exchanges = new ArrayDeque<>();
  private boolean sending;
  private boolean memoryShort;
  private boolean readingEnded;
  private boolean draining;
  private boolean lastResponseSent;
  private @Nullable RequestHead acknowledgement;
  private boolean closed;
  private volatile long lingeringSinceNanoseconds;
  private volatile boolean lingering;

  private CallerPipeline(Connection<?> connection, ListenerContext listener) {
    this.connection = connection;
    this.listener = listener;
    readAhead = new ReadAhead(listener.memory().small());
    reader = new RequestReader(this, listener);
  }

  /** Creates the pipeline of a new connection. */
  static void attach(Connection<?> connection, ListenerContext listener) {
    CallerPipeline pipeline = new CallerPipeline(connection, listener);
    PIPELINE.set(connection, pipeline);
    connection.addCloseListener(pipeline);
  }

  static CallerPipeline of(Connection<?> connection) {
    return PIPELINE.get(connection);
  }

  Connection<?> connection() {
    return connection;
  }

  ReadAhead readAhead() {
    return readAhead;
  }

  /** Returns the reader of requests, for the thread that parses. */
  RequestReader reader() {
    return reader;
  }

  /** Returns whether bytes may be parsed now, or dropped because nothing more is read. */
  synchronized boolean mayParse() {
    return readingEnded
        || exchanges.isEmpty()
        || (exchanges.size() < REQUEST_LIMIT && !memoryShort);
  }

  /** Returns whether no request is read any more, so that bytes are dropped. */
  synchronized boolean hasReadingEnded() {
    return readingEnded || closed;
  }

  /** Returns whether the caller has not closed its side for a time after the last response. */
  boolean isLingeringLongerThan(Duration limit, long nowNanoseconds) {
    return lingering && nowNanoseconds - lingeringSinceNanoseconds > limit.toNanos();
  }

  /** Returns whether a request is in progress or waits. */
  synchronized boolean hasExchanges() {
    return !exchanges.isEmpty();
  }

  /** Parses no more until a request is answered, because there is no memory for a body. */
  void waitForMemory() {
    synchronized (this) {
      memoryShort = true;
    }
    // A response that was sent in between has not found the wait.
    resumeReading();
  }

  /** Asks the caller to send the body of the request that is being read, when it is its turn. */
  void acknowledge(RequestHead head) {
    synchronized (this) {
      acknowledgement = head;
    }
    advance();
  }

  /**
   * Ends the reading because the caller takes too long to send a request.
   *
   * @return whether requests are still to be answered before the connection closes
   */
  synchronized boolean endReading() {
    if (exchanges.isEmpty()) {
      return false;
    }
    readingEnded = true;
    return true;
  }

  /** Adds a request that was read, unless reading has ended before. */
  void add(CallerExchange exchange) {
    boolean added;
    synchronized (this) {
      added = !readingEnded && !closed;
      if (added) {
        reserveHead(exchange);
        enqueue(exchange);
        acknowledgement = null;
        readingEnded = !exchange.head().keepsConnection();
      }
    }
    if (added) {
      advance();
    } else {
      exchange.lease().end();
    }
  }

  /**
   * Adds the refusal of a request. Nothing behind the request is read.
   *
   * @param bodyFollows whether a body is still to be read and dropped before the connection closes,
   *     since a close with unread bytes would keep the caller from reading the refusal
   */
  void addLast(CallerExchange refusal, boolean bodyFollows) {
    synchronized (this) {
      if (readingEnded || closed) {
        return;
      }
      enqueue(refusal);
      acknowledgement = null;
      draining = bodyFollows;
      readingEnded = !bodyFollows;
    }
    advance();
  }

  /** Records that the body of the refused request has ended. */
  void onBodyDropped() {
    boolean mayClose;
    synchronized (this) {
      draining = false;
      readingEnded = true;
      mayClose = lastResponseSent;
    }
    if (mayClose) {
      closeAfterResponses();
    }
  }

  /** Looks at the connection; closes it if the caller has left. */
  boolean isCallerConnected() {
    if (!connection.isOpen()) {
      return false;
    }
    SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
    ReadAhead.Probe found = readAhead.probe(channel);
    if (found == ReadAhead.Probe.ENDED) {
      // A graceful close would wait for responses that nobody reads.
      connection.terminateSilently();
      return false;
    }
    if (found == ReadAhead.Probe.OPEN_WITH_BYTES) {
      simulateRead();
    }
    return connection.isOpen();
  }

  /** Keeps bytes for which there is no room yet. */
  void hold(Buffer rest) {
    readAhead.hold(rest);
    // Room that was made in between has not found the bytes.
    resumeReading();
  }

  /** Goes on with reading and parsing if there is room again. */
  void resumeReading() {
    if (!mayParse() || !(readAhead.resume() || reader.isDeferred())) {
      return;
    }
    try {
      connection.enableIOEvent(IOEvent.READ);
    } catch (IOException closing) {
      connection.closeSilently();
    }
    simulateRead();
  }

  @Override
  public void onClosed(Closeable closeable, ICloseType type) {
    List<CallerExchange> unfinished;
    synchronized (this) {
      closed = true;
      unfinished = new ArrayList<>(exchanges);
      exchanges.clear();
    }
    listener.account().onEnded(unfinished.size());
    readAhead.drop();
    reader.onClosed();
    for (CallerExchange exchange : unfinished) {
      exchange.lease().end();
      exchange.future().ifPresent(future -> future.cancel(false));
    }
  }

  private void simulateRead() {
    try {
      connection.simulateIOEvent(IOEvent.READ);
    } catch (IOException closing) {
      connection.closeSilently();
    }
  }

  private void enqueue(CallerExchange exchange) {
    exchanges.add(exchange);
    listener.account().onRead();
  }

  /** Counts a request that is read ahead; without memory, no more are read. */
  private void reserveHead(CallerExchange exchange) {
    if (!exchanges.isEmpty() && exchange.request().isPresent()) {
      MemoryBudget budget = listener.memory().small();
      int headBytes = headBytes(exchange.request().get());
      if (!exchange.lease().tryReserve(budget, headBytes)) {
        exchange.lease().reserve(budget, headBytes);
        memoryShort = true;
      }
    }
  }

  private static int headBytes(HttpRequest request) {
    int bytes = EXCHANGE_BYTES + request.target().length();
    for (HttpHeader field : request.headers().fields()) {
      bytes += field.name().length() + field.value().length();
    }
    return bytes;
  }

  /** Starts what may start, and begins to send the first response if it is there. */
  private void advance() {
    List<CallerExchange> startable;
    CallerExchange first = null;
    RequestHead continued = null;
    boolean closes = false;
    synchronized (this) {
      startable = takeStartable();
      CallerExchange oldest = exchanges.peek();
      if (!sending && oldest != null && oldest.response().isPresent()) {
        sending = true;
        first = oldest;
        closes = endsConnection(oldest.response().get());
      } else if (!sending && oldest == null && acknowledgement != null && !readingEnded) {
        sending = true;
        continued = acknowledgement;
        acknowledgement = null;
      }
    }
    startable.forEach(this::start);
    if (first != null) {
      send(first, closes);
    } else if (continued != null) {
      sendContinue(continued);
    }
  }

  private void sendContinue(RequestHead head) {
    ((NIOConnection) connection).write(head.continuePacket());
    synchronized (this) {
      sending = false;
    }
    advance();
  }

  private List<CallerExchange> takeStartable() {
    List<CallerExchange> startable = new ArrayList<>(1);
    boolean isFirst = true;
    for (CallerExchange exchange : exchanges) {
      if (exchange.isWaiting() && (isFirst || exchange.mayRunBeside())) {
        exchange.start();
        startable.add(exchange);
      }
      if (!exchange.mayRunBeside()) {
        break;
      }
      isFirst = false;
    }
    return startable;
  }

  /**
   * Returns whether the connection ends with a response. A response that asks for it ends the
   * reading; the requests that were read already are still answered.
   */
  private boolean endsConnection(HttpResponse response) {
    boolean asksForClose =
        response.headers().first("Connection").filter("close"::equalsIgnoreCase).isPresent();
    if (!draining && (asksForClose || listener.isStopping().getAsBoolean())) {
      readingEnded = true;
    }
    return (readingEnded || draining) && exchanges.size() == 1;
  }

  private void start(CallerExchange exchange) {
    try {
      listener.executor().execute(() -> handle(exchange));
    } catch (RejectedExecutionException stopped) {
      connection.closeSilently();
    }
  }

  private void handle(CallerExchange exchange) {
    synchronized (this) {
      if (closed || exchange.response().isPresent()) {
        return;
      }
      exchange.begin(System.nanoTime());
    }
    CompletableFuture<HttpResponse> future;
    try {
      future = listener.handler().handle(exchange.request().orElseThrow(), exchange);
    } catch (RuntimeException | Error failure) {
      // Without an answer, the requests behind would wait as long as the connection lasts.
      future = CompletableFuture.failedFuture(failure);
    }
    boolean ended;
    synchronized (this) {
      exchange.setFuture(future);
      ended = closed || exchange.response().isPresent();
    }
    if (ended) {
      future.cancel(false);
      return;
    }
    future.whenComplete(
        (response, failure) ->
            answer(exchange, failure == null ? response : ListenerResponses.INTERNAL_ERROR));
  }

  private void answer(CallerExchange exchange, HttpResponse response) {
    synchronized (this) {
      if (closed || exchange.response().isPresent()) {
        return;
      }
      exchange.answer(response);
    }
    advance();
  }

  /**
   * Answers the requests that have no response: those that were begun as ones that may have run,
   * the others as not run. Answers that are ready behind them can then be sent.
   */
  void endRequests() {
    List<CallerExchange> begun = new ArrayList<>();
    synchronized (this) {
      for (CallerExchange exchange : exchanges) {
        if (exchange.response().isEmpty()) {
          if (exchange.hasBegun()) {
            exchange.answer(ListenerResponses.ENDED);
            begun.add(exchange);
          } else {
            exchange.answer(ListenerResponses.STOPPED);
          }
        }
      }
    }
    begun.forEach(exchange -> exchange.future().ifPresent(future -> future.cancel(false)));
    advance();
  }

  private void send(CallerExchange exchange, boolean closes) {
    HttpResponse response = exchange.response().orElseThrow();
    try {
      new ResponseWriter(
              exchange.head().responsePacket(response, closes),
              response.body(),
              connection,
              exchange.lease(),
              complete -> onSent(exchange, closes, complete))
          .start();
    } catch (RuntimeException failure) {
      exchange.lease().end();
      onSent(exchange, closes, false);
    }
  }

  /** Ends an exchange after the whole response was passed on, or could not be. */
  private void onSent(CallerExchange exchange, boolean closes, boolean complete) {
    boolean mayClose;
    synchronized (this) {
      if (exchanges.remove(exchange)) {
        listener.account().onEnded(1);
      }
      sending = false;
      memoryShort = false;
      lastResponseSent = closes;
      // Reading may have ended after the head of the last response was sent.
      mayClose = (closes || readingEnded) && exchanges.isEmpty() && !draining;
    }
    ConnectionGuard.onResponseWritten(connection);
    if (!complete) {
      connection.closeSilently();
      return;
    }
    resumeReading();
    if (!mayClose) {
      advance();
    } else if (exchange.head().keepsConnection()) {
      closeAfterResponses();
    } else {
      connection.closeSilently();
    }
  }

  /**
   * Closes the sending side after the last response, and then drops what the caller still sends
   * until it closes its side. A close with unread bytes would reset the connection, and responses
   * on their way could be lost.
   */
  private void closeAfterResponses() {
    lingeringSinceNanoseconds = System.nanoTime();
    lingering = true;
    ((NIOConnection) connection)
        .write(
            Buffers.EMPTY_BUFFER,
            new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
              @Override
              public void completed(WriteResult<Buffer, SocketAddress> written) {
                shutDownOutput();
              }
            });
  }

  private void shutDownOutput() {
    try {
      ((SocketChannel) ((NIOConnection) connection).getChannel()).shutdownOutput();
    } catch (IOException closed) {
      connection.closeSilently();
    }
  }
}
