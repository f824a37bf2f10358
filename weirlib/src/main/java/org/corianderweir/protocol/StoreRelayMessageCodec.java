package org.corianderweir.protocol;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.corianderweir.logic.relay.StoreSnapshotPart;
import org.corianderweir.logic.relay.StoreUpdate;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.store.StoreChange;
import org.corianderweir.model.store.StoreItem;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes messages of store relays, which have type numbers 70 to 79. */
final class StoreRelayMessageCodec {
  private static final int UPDATE = 70;
  private static final int CHANGES_REQUEST = 71;
  private static final int SNAPSHOT_PART = 72;
  private static final int CHANGE_LIMIT = 10_000;

  /** Stands for the age of an outage that did not happen, in milliseconds. */
  private static final long NO_RECOVERY = -1;

  private StoreRelayMessageCodec() {}

  static void pack(MessagePacker packer, StoreRelayMessage message) throws IOException {
    switch (message) {
      case StoreRelayMessage.Update wrapped -> {
        packer.packInt(UPDATE);
        packUpdate(packer, wrapped.update());
      }
      case StoreRelayMessage.Snapshot snapshot -> {
        packer.packInt(SNAPSHOT_PART);
        packSnapshotPart(packer, snapshot.part());
      }
      case StoreRelayMessage.ChangesRequest request ->
          packer.packInt(CHANGES_REQUEST).packLong(request.afterRevision());
    }
  }

  private static void packUpdate(MessagePacker packer, StoreUpdate update) throws IOException {
    packer
        .packLong(update.fromRevision())
        .packLong(update.toRevision())
        .packLong(update.age().toMillis())
        .packBoolean(update.inTouch())
        .packLong(update.recoveredAge().map(Duration::toMillis).orElse(NO_RECOVERY))
        .packArrayHeader(update.changes().size());
    for (StoreChange change : update.changes()) {
      switch (change) {
        case StoreChange.Written written -> packItem(packer, written.item());
        case StoreChange.Removed removed ->
            packer.packString(removed.key()).packLong(removed.revision()).packNil();
      }
    }
  }

  private static void packItem(MessagePacker packer, StoreItem item) throws IOException {
    packer
        .packString(item.key())
        .packLong(item.revision())
        .packBinaryHeader(item.value().length)
        .writePayload(item.value());
  }

  private static void packSnapshotPart(MessagePacker packer, StoreSnapshotPart part)
      throws IOException {
    packUpdate(packer, part.confirmation());
    packer.packString(part.afterKey());
    if (part.throughKey().isPresent()) {
      packer.packString(part.throughKey().get());
    } else {
      packer.packNil();
    }
    packer.packArrayHeader(part.items().size());
    for (StoreItem item : part.items()) {
      packItem(packer, item);
    }
  }

  /** Decodes a message; returns empty if this codec does not know the type number. */
  static Optional<PeerMessage> unpack(int type, MessageUnpacker unpacker) throws IOException {
    return switch (type) {
      case UPDATE -> Optional.of(new StoreRelayMessage.Update(unpackUpdate(unpacker)));
      case SNAPSHOT_PART ->
          Optional.of(new StoreRelayMessage.Snapshot(unpackSnapshotPart(unpacker)));
      case CHANGES_REQUEST ->
          Optional.of(new StoreRelayMessage.ChangesRequest(unpacker.unpackLong()));
      default -> Optional.empty();
    };
  }

  private static StoreUpdate unpackUpdate(MessageUnpacker unpacker) throws IOException {
    long fromRevision = unpacker.unpackLong();
    long toRevision = unpacker.unpackLong();
    long ageMilliseconds = unpacker.unpackLong();
    boolean inTouch = unpacker.unpackBoolean();
    long recoveredMilliseconds = unpacker.unpackLong();
    int count = unpacker.unpackArrayHeader();
    if (count > CHANGE_LIMIT) {
      throw invalid("too many changes of the store");
    }
    List<StoreChange> changes = new ArrayList<>();
    long previousRevision = fromRevision;
    for (int index = 0; index < count; index++) {
      StoreChange change = unpackChange(unpacker);
      if (change.revision() < previousRevision || change.revision() > toRevision) {
        throw invalid("changes of the store are out of order");
      }
      previousRevision = change.revision();
      changes.add(change);
    }
    if (fromRevision < 0 || toRevision < fromRevision || ageMilliseconds < 0) {
      throw invalid("update of the store with a negative range or age");
    }
    return new StoreUpdate(
        fromRevision,
        toRevision,
        changes,
        Duration.ofMillis(ageMilliseconds),
        inTouch,
        recoveredMilliseconds < 0
            ? Optional.empty()
            : Optional.of(Duration.ofMillis(recoveredMilliseconds)));
  }

  private static StoreSnapshotPart unpackSnapshotPart(MessageUnpacker unpacker) throws IOException {
    StoreUpdate confirmation = unpackUpdate(unpacker);
    String afterKey = unpacker.unpackString();
    Optional<String> throughKey =
        unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(unpacker.unpackString());
    int count = unpacker.unpackArrayHeader();
    boolean changes =
        !confirmation.changes().isEmpty()
            || confirmation.fromRevision() != confirmation.toRevision();
    boolean reversed = throughKey.filter(key -> key.compareTo(afterKey) <= 0).isPresent();
    if (count > CHANGE_LIMIT || changes || reversed) {
      throw invalid("snapshot of the store with too many items, changes or a reversed range");
    }
    List<StoreItem> items = new ArrayList<>();
    String previousKey = afterKey;
    for (int index = 0; index < count; index++) {
      if (!(unpackChange(unpacker) instanceof StoreChange.Written written)) {
        throw invalid("snapshot of the store with a removal");
      }
      String key = written.key();
      boolean beyondRange = throughKey.filter(last -> key.compareTo(last) > 0).isPresent();
      if (key.compareTo(previousKey) <= 0 || beyondRange) {
        throw invalid("items of a snapshot of the store are out of order");
      }
      previousKey = key;
      items.add(written.item());
    }
    return new StoreSnapshotPart(confirmation, afterKey, throughKey, items);
  }

  private static StoreChange unpackChange(MessageUnpacker unpacker) throws IOException {
    String key = unpacker.unpackString();
    long revision = unpacker.unpackLong();
    if (unpacker.tryUnpackNil()) {
      return new StoreChange.Removed(key, revision);
    }
    byte[] value = unpacker.readPayload(unpacker.unpackBinaryHeader());
    return new StoreChange.Written(new StoreItem(key, value, revision));
  }

  private static WeirException invalid(String reason) {
    return new WeirException(ErrorCode.FRAME_INVALID, reason);
  }
}
