package org.corianderweir.daemon.entry;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.corianderweir.daemon.peer.PeerTransport;
import org.corianderweir.kernel.ControlExecutor;
import org.corianderweir.logic.relay.StoreSnapshotPart;
import org.corianderweir.logic.relay.StoreUpdate;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.protocol.StoreRelayMessage;

/**
 * Carries updates of the store between the entry instances of an availability zone. Runs on the
 * control thread.
 */
final class StoreRelay implements StoreUpdates {
  private final FleetMember self;
  private final PeerTransport transport;
  private Map<String, EntryInstance> zonePeers = Map.of();

  /** Creates a relay and passes the messages of other instances to the watcher. */
  StoreRelay(
      FleetMember self,
      PeerTransport transport,
      ControlExecutor controlExecutor,
      StoreWatcher watcher) {
    this.self = self;
    this.transport = transport;
    transport.onMessage(
        StoreRelayMessage.class,
        received ->
            controlExecutor.execute(
                () -> {
                  String sender = received.sender().name();
                  switch (received.message()) {
                    case StoreRelayMessage.Update update ->
                        watcher.receive(sender, update.update());
                    case StoreRelayMessage.Snapshot snapshot ->
                        watcher.receive(sender, snapshot.part());
                    case StoreRelayMessage.ChangesRequest request ->
                        watcher.answerRequest(sender, request.afterRevision());
                  }
                }));
  }

  void apply(FleetView view) {
    zonePeers =
        view.membersOf(self.zone()).stream()
            .filter(member -> !member.name().equals(self.name()))
            .collect(
                Collectors.toMap(
                    FleetMember::name, DemandExchange::toEntryInstance, (first, other) -> first));
  }

  @Override
  public void sendToZone(StoreUpdate update) {
    transport.send(zonePeers.values(), new StoreRelayMessage.Update(update));
  }

  @Override
  public void send(String instance, StoreUpdate update) {
    sendMessage(instance, new StoreRelayMessage.Update(update));
  }

  @Override
  public void send(String instance, StoreSnapshotPart part) {
    sendMessage(instance, new StoreRelayMessage.Snapshot(part));
  }

  @Override
  public void requestChanges(String instance, long afterRevision) {
    sendMessage(instance, new StoreRelayMessage.ChangesRequest(afterRevision));
  }

  private void sendMessage(String instance, StoreRelayMessage message) {
    Optional.ofNullable(zonePeers.get(instance)).ifPresent(peer -> transport.send(peer, message));
  }
}
