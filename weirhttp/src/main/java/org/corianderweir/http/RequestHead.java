package org.corianderweir.http;

import java.util.Locale;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.HttpStatus;

/**
 * What the response to a request depends on.
 *
 * @param hasHeadMethod whether the response has no body because the request only asks for the head
 * @param hasLatestVersion whether the caller speaks HTTP/1.1
 * @param keepsConnection whether the caller keeps the connection for further requests
 */
record RequestHead(boolean hasHeadMethod, boolean hasLatestVersion, boolean keepsConnection) {
  /** For bytes of which no head could be read. */
  static final RequestHead UNKNOWN = new RequestHead(false, true, true);

  static RequestHead of(HttpRequestPacket packet) {
    return new RequestHead(
        packet.getMethod() == Method.HEAD,
        packet.getProtocol() == Protocol.HTTP_1_1,
        packet.getProcessingState().isKeepAlive());
  }

  /** Returns the interim response after which a caller sends the body of a request. */
  HttpResponsePacket continuePacket() {
    HttpResponsePacket packet = packet(HttpStatus.CONINTUE_100.getStatusCode());
    packet.setAcknowledgement(true);
    return packet;
  }

  /** Returns the head of a response for the codec. */
  HttpResponsePacket responsePacket(HttpResponse response, boolean closes) {
    HttpResponsePacket packet = packet(response.status());
    packet.setContentLength(response.body().length);
    for (HttpHeader field : response.headers().fields()) {
      switch (field.name().toLowerCase(Locale.ROOT)) {
        case "content-length", "transfer-encoding", "connection" -> {
          // The framing and the end of the connection are the listener's.
        }
        case "content-type" -> packet.setContentType(field.value());
        default -> HeaderValues.add(packet.getHeaders(), field.name(), field.value());
      }
    }
    StrictServerFilter.setClosing(packet, closes);
    return packet;
  }

  /** The packet of the request is not kept for its response, as it holds the bytes of a read. */
  private HttpResponsePacket packet(int status) {
    HttpRequestPacket request =
        HttpRequestPacket.builder()
            .method(hasHeadMethod ? Method.HEAD : Method.GET)
            .uri("/")
            .protocol(hasLatestVersion ? Protocol.HTTP_1_1 : Protocol.HTTP_1_0)
            .build();
    return HttpResponsePacket.builder(request).protocol(Protocol.HTTP_1_1).status(status).build();
  }
}
