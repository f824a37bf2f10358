package org.corianderweir.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.PeerMessage;

/** Collects the actions that follow from one message or tick. */
final class Outbox {
  private final String selfName;
  private final Function<String, Optional<EntryInstance>> addresses;
  private List<Action> actions = new ArrayList<>();

  Outbox(String selfName, Function<String, Optional<EntryInstance>> addresses) {
    this.selfName = selfName;
    this.addresses = addresses;
  }

  void add(Action action) {
    actions.add(action);
  }

  void recordEvent(EventCode code, String subject, String detail) {
    add(new Action.RecordEvent(code, subject, detail));
  }

  void send(EntryInstance target, PeerMessage message) {
    add(new Action.Send(target, message));
  }

  /**
   * Sends a message to an instance by its name; the message is dropped if the address is unknown.
   */
  void send(String name, PeerMessage message) {
    if (!name.equals(selfName)) {
      addresses.apply(name).ifPresent(target -> send(target, message));
    }
  }

  List<Action> drain() {
    List<Action> drained = actions;
    actions = new ArrayList<>();
    return drained;
  }
}
