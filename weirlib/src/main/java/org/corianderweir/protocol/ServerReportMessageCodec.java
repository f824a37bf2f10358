package org.corianderweir.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.corianderweir.logic.traffic.ServerLoad;
import org.corianderweir.logic.traffic.SharedServerReport;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes messages with reports of servers, which have type numbers 80 to 89. */
final class ServerReportMessageCodec {
  private static final int HEARD = 80;
  private static final int DIGEST = 81;

  /** Stands for a figure that the server did not report; one byte. */
  private static final int ABSENT = -1;

  private ServerReportMessageCodec() {}

  static void pack(MessagePacker packer, ServerReportMessage message) throws IOException {
    switch (message) {
      case ServerReportMessage.Heard heard ->
          pack(packer.packInt(HEARD).packLong(heard.number()), heard.reports());
      case ServerReportMessage.Digest digest ->
          pack(packer.packInt(DIGEST).packLong(digest.number()), digest.reports());
    }
  }

  private static void pack(MessagePacker packer, List<SharedServerReport> reports)
      throws IOException {
    packer.packArrayHeader(reports.size());
    for (SharedServerReport report : reports) {
      ServerLoad load = report.load();
      packer
          .packString(report.server())
          .packLong(report.startedMilliseconds())
          .packInt(load.running().orElse(ABSENT))
          .packInt(load.waiting().orElse(ABSENT))
          .packInt(load.slots().orElse(ABSENT))
          .packInt(load.speedPercent().orElse(ABSENT))
          .packInt(report.ageMilliseconds());
    }
  }

  /** Decodes a message; returns empty if this codec does not know the type number. */
  static Optional<PeerMessage> unpack(int type, MessageUnpacker unpacker) throws IOException {
    return switch (type) {
      case HEARD ->
          Optional.of(
              new ServerReportMessage.Heard(unpacker.unpackLong(), unpackReports(unpacker)));
      case DIGEST ->
          Optional.of(
              new ServerReportMessage.Digest(unpacker.unpackLong(), unpackReports(unpacker)));
      default -> Optional.empty();
    };
  }

  private static List<SharedServerReport> unpackReports(MessageUnpacker unpacker)
      throws IOException {
    int size = unpacker.unpackArrayHeader();
    if (size > SharedServerReport.MESSAGE_LIMIT) {
      throw new WeirException(ErrorCode.FRAME_INVALID, "too many reports");
    }
    List<SharedServerReport> reports = new ArrayList<>();
    for (int index = 0; index < size; index++) {
      reports.add(
          new SharedServerReport(
              unpacker.unpackString(),
              unpacker.unpackLong(),
              new ServerLoad(
                  unpackFigure(unpacker),
                  unpackFigure(unpacker),
                  unpackFigure(unpacker),
                  unpackFigure(unpacker)),
              unpacker.unpackInt()));
    }
    return reports;
  }

  private static OptionalInt unpackFigure(MessageUnpacker unpacker) throws IOException {
    int figure = unpacker.unpackInt();
    return figure == ABSENT ? OptionalInt.empty() : OptionalInt.of(figure);
  }
}
