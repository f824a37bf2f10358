package org.corianderweir.protocol;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes demand messages, which have type numbers 60 to 69. */
final class DemandMessageCodec {
  private static final int DEMAND_REPORT = 60;
  private static final int REGION_DEMAND = 61;
  private static final int FLEET_DEMAND = 62;
  private static final int MAXIMUM_ORGANISATION_COUNT = 100_000;

  private DemandMessageCodec() {}

  static void pack(MessagePacker packer, DemandMessage message) throws IOException {
    switch (message) {
      case DemandMessage.DemandReport report -> {
        packer.packInt(DEMAND_REPORT);
        packRates(packer, report.requestsPerSecond());
      }
      case DemandMessage.RegionDemand demand -> {
        packer
            .packInt(REGION_DEMAND)
            .packString(demand.region())
            .packInt(demand.reportingInstanceCount());
        packRates(packer, demand.requestsPerSecond());
      }
      case DemandMessage.FleetDemand demand -> {
        packer.packInt(FLEET_DEMAND);
        packRates(packer, demand.reportedRequestsPerSecond());
        packer.packInt(demand.reportingInstanceCount());
        packRates(packer, demand.fleetRequestsPerSecond());
      }
    }
  }

  /** Decodes a message; returns empty if this codec does not know the type number. */
  static Optional<PeerMessage> unpack(int type, MessageUnpacker unpacker) throws IOException {
    return switch (type) {
      case DEMAND_REPORT -> Optional.of(new DemandMessage.DemandReport(unpackRates(unpacker)));
      case REGION_DEMAND ->
          Optional.of(
              new DemandMessage.RegionDemand(
                  unpacker.unpackString(), unpackInstanceCount(unpacker), unpackRates(unpacker)));
      case FLEET_DEMAND ->
          Optional.of(
              new DemandMessage.FleetDemand(
                  unpackRates(unpacker), unpackInstanceCount(unpacker), unpackRates(unpacker)));
      default -> Optional.empty();
    };
  }

  private static void packRates(MessagePacker packer, Map<String, Double> rates)
      throws IOException {
    packer.packMapHeader(rates.size());
    for (Map.Entry<String, Double> entry : rates.entrySet()) {
      packer.packString(entry.getKey()).packFloat(entry.getValue().floatValue());
    }
  }

  private static int unpackInstanceCount(MessageUnpacker unpacker) throws IOException {
    int instanceCount = unpacker.unpackInt();
    if (instanceCount < 0) {
      throw new WeirException(ErrorCode.FRAME_INVALID, "negative number of instances");
    }
    return instanceCount;
  }

  private static Map<String, Double> unpackRates(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackMapHeader();
    if (size > MAXIMUM_ORGANISATION_COUNT) {
      throw new WeirException(ErrorCode.FRAME_INVALID, "too many organisations");
    }
    Map<String, Double> rates = new HashMap<>();
    for (int index = 0; index < size; index++) {
      String organisation = unpacker.unpackString();
      double rate = unpacker.unpackFloat();
      if (!(rate >= 0 && rate < Float.MAX_VALUE)) {
        throw new WeirException(ErrorCode.FRAME_INVALID, "request rate out of range");
      }
      rates.put(organisation, rate);
    }
    return rates;
  }
}
