package org.corianderweir.http;

import java.util.Objects;
import java.util.Optional;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.util.DataChunk;
import org.jspecify.annotations.Nullable;

/**
 * Collects the parts of the requests of one connection. Used by the thread that parses; only the
 * end of the connection is reported by others.
 */
final class RequestReader {
  private static final char DELETE = 127;
  private static final byte[] NO_BODY = new byte[0];

  private final CallerPipeline pipeline;
  private final ListenerContext listener;
  private @Nullable RequestHead head;
  private @Nullable BodyBuffer body;
  private volatile @Nullable MemoryLease lease;
  private boolean refused;
  private volatile @Nullable DeferredPart deferred;

  RequestReader(CallerPipeline pipeline, ListenerContext listener) {
    this.pipeline = pipeline;
    this.listener = listener;
  }

  /**
   * The first part of a body for which there is no memory yet.
   *
   * @param lengthBytes length of the whole body
   */
  @SuppressWarnings("ArrayRecordComponent")
  private record DeferredPart(
      HttpRequestPacket packet, long lengthBytes, byte[] part, boolean last) {}

  /** Takes a part of a request that the codec has parsed. */
  void onContent(HttpContent content) {
    HttpRequestPacket packet = (HttpRequestPacket) content.getHttpHeader();
    if (head == null) {
      begin(packet);
    }
    Buffer buffer = content.getContent();
    byte[] part = NO_BODY;
    if (!refused && buffer.hasRemaining()) {
      part = new byte[buffer.remaining()];
      buffer.get(part);
    }
    DeferredPart waiting = deferred;
    if (waiting != null) {
      deferred = new DeferredPart(packet, waiting.lengthBytes(), part, content.isLast());
      pipeline.waitForMemory();
    } else {
      take(packet, part, content.isLast());
    }
    if (content.isLast()) {
      // The codec then takes the bytes that follow as another request.
      pipeline
          .connection()
          .getAttributes()
          .removeAttribute(HttpServerFilter.HTTP_SERVER_REQUEST_ATTR_NAME);
    }
  }

  /** Returns whether a body waits for memory. */
  boolean isDeferred() {
    return deferred != null;
  }

  /**
   * Goes on with a body that waits for memory, if there is some now or nothing left to wait for.
   */
  void resumeDeferred() {
    DeferredPart waiting = deferred;
    if (waiting == null) {
      return;
    }
    deferred = null;
    reserve(waiting.packet(), waiting.lengthBytes());
    if (deferred != null) {
      deferred = waiting;
      pipeline.waitForMemory();
    } else {
      take(waiting.packet(), waiting.part(), waiting.last());
    }
  }

  private void take(HttpRequestPacket packet, byte[] part, boolean last) {
    if (!refused && part.length > 0) {
      refuseUnlessAdded(body().add(part));
    }
    if (last) {
      complete(packet);
    } else if (body().isEmpty() && !refused && packet.requiresAcknowledgement()) {
      pipeline.acknowledge(head());
    }
  }

  /** Answers bytes that are not one clear request, in their turn. */
  void onMalformed() {
    endLease();
    ConnectionGuard.onRequestRead(pipeline.connection());
    if (refused) {
      pipeline.onBodyDropped();
    } else {
      pipeline.addLast(
          CallerExchange.refused(
              pipeline, RequestHead.UNKNOWN, ListenerResponses.MALFORMED, System.nanoTime()),
          false);
    }
  }

  /** Gives the memory of an unfinished request back when the connection has ended. */
  void onClosed() {
    endLease();
  }

  private void begin(HttpRequestPacket packet) {
    head = RequestHead.of(packet);
    MemoryLease requestLease = new MemoryLease();
    lease = requestLease;
    body = new BodyBuffer(listener.bodyLimitBytes(), listener.memory(), requestLease);
    if (pipeline.hasReadingEnded()) {
      requestLease.end();
    }
    boolean chunked = packet.isChunked();
    long lengthBytes = Math.max(0, packet.getContentLength());
    if (chunked || lengthBytes > BodyMemory.SMALL_BODY_BYTES) {
      toHttpRequest(packet, NO_BODY, requestLease)
          .flatMap(listener.handler()::refuseEarly)
          .ifPresent(this::refuse);
    }
    if (!refused && !chunked) {
      reserve(packet, lengthBytes);
    }
  }

  /**
   * Reserves the memory of a body. A body behind unanswered requests waits for their memory instead
   * of being refused.
   */
  private void reserve(HttpRequestPacket packet, long lengthBytes) {
    BodyBuffer.Addition addition = body().begin(lengthBytes);
    if (addition == BodyBuffer.Addition.BUDGET_EXHAUSTED && pipeline.hasExchanges()) {
      deferred = new DeferredPart(packet, lengthBytes, NO_BODY, false);
    } else {
      refuseUnlessAdded(addition);
    }
  }

  private void complete(HttpRequestPacket packet) {
    Optional<byte[]> whole = refused ? Optional.empty() : body().take();
    if (!refused && whole.isEmpty()) {
      refuse(ListenerResponses.NO_MEMORY);
    }
    ConnectionGuard.onRequestRead(pipeline.connection());
    if (refused) {
      pipeline.onBodyDropped();
    } else {
      add(packet, whole.orElseThrow());
    }
    head = null;
    body = null;
    lease = null;
  }

  private void add(HttpRequestPacket packet, byte[] whole) {
    MemoryLease requestLease = lease();
    Optional<HttpRequest> request = toHttpRequest(packet, whole, requestLease);
    long nowNanoseconds = System.nanoTime();
    if (request.isEmpty()) {
      requestLease.end();
      pipeline.addLast(
          CallerExchange.refused(pipeline, head(), ListenerResponses.BAD_TARGET, nowNanoseconds),
          false);
      return;
    }
    pipeline.add(
        CallerExchange.of(
            pipeline,
            head(),
            request.get(),
            mayRunBeside(request.get()),
            requestLease,
            nowNanoseconds));
  }

  private boolean mayRunBeside(HttpRequest request) {
    try {
      return listener.handler().mayRunBeside(request);
    } catch (RuntimeException failure) {
      // Handling the request shows the failure in its turn.
      return false;
    }
  }

  private void refuseUnlessAdded(BodyBuffer.Addition addition) {
    if (addition == BodyBuffer.Addition.BODY_TOO_LARGE) {
      refuse(ListenerResponses.TOO_LARGE);
    } else if (addition == BodyBuffer.Addition.BUDGET_EXHAUSTED) {
      refuse(ListenerResponses.NO_MEMORY);
    }
  }

  /** Refuses the request at once; the rest of its body is dropped. */
  private void refuse(HttpResponse refusal) {
    refused = true;
    endLease();
    pipeline.addLast(CallerExchange.refused(pipeline, head(), refusal, System.nanoTime()), true);
  }

  private RequestHead head() {
    return Objects.requireNonNull(head);
  }

  private BodyBuffer body() {
    return Objects.requireNonNull(body);
  }

  private MemoryLease lease() {
    return Objects.requireNonNull(lease);
  }

  private void endLease() {
    MemoryLease present = lease;
    if (present != null) {
      present.end();
    }
  }

  /**
   * Returns a request as it was received; empty if its target has bytes that can't be passed on
   * unchanged.
   */
  private static Optional<HttpRequest> toHttpRequest(
      HttpRequestPacket packet, byte[] body, MemoryLease lease) {
    DataChunk query = packet.getQueryStringDC();
    String path = HeaderValues.text(packet.getRequestURIRef().getOriginalRequestURIBC());
    String target = query.isNull() ? path : path + '?' + HeaderValues.text(query);
    if (!target.chars().allMatch(character -> character > ' ' && character < DELETE)) {
      return Optional.empty();
    }
    return Optional.of(
        new HttpRequest(
            packet.getMethod().getMethodString(),
            target,
            new HttpHeaders(HeaderValues.fields(packet.getHeaders())),
            body,
            Optional.of(lease)));
  }
}
