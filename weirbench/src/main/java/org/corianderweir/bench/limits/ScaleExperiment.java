package org.corianderweir.bench.limits;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.corianderweir.logic.limits.AddressedMessage;
import org.corianderweir.logic.limits.AdmissionDecision;
import org.corianderweir.logic.limits.AdmissionGate;
import org.corianderweir.logic.limits.Allowance;
import org.corianderweir.logic.limits.FleetShape;
import org.corianderweir.logic.limits.Lender;
import org.corianderweir.logic.limits.LimitTiming;
import org.corianderweir.logic.limits.LoanBroker;
import org.corianderweir.logic.limits.LoanMessage;
import org.corianderweir.logic.limits.SliceBucket;
import org.corianderweir.protocol.LimitMessage;
import org.corianderweir.protocol.PeerMessageCodec;

/**
 * Counts the loan messages of each instance as the fleet grows, with the load of each instance kept
 * the same. Slots are taken as held; their messages depend on the size of a cell alone.
 */
public final class ScaleExperiment {
  private static final long TICK = 20 * SimulatedTime.MILLISECOND;
  private static final long WARM_UP = 4 * SimulatedTime.SECOND;
  private static final long DURATION = 10 * SimulatedTime.SECOND;
  private static final long DEADLINE = 2 * SimulatedTime.SECOND;
  private static final long NEAR = 250_000L;
  private static final long FAR = 20 * SimulatedTime.MILLISECOND;
  private static final String LIMIT = "organisation/demand";
  private static final double LOAD = 0.8;
  private static final double RATE_PER_INSTANCE = 20;
  private static final double BURST_PER_INSTANCE = 5;

  private final SimulatedTime time = new SimulatedTime();
  private final SplittableRandom random;
  private final List<Peer> peers = new ArrayList<>();
  private long[] sent = new long[0];
  private long[] bytes = new long[0];
  private long admitted;
  private long refused;

  private record Peer(int index, int zone, LoanBroker broker, AdmissionGate gate) {}

  /** Creates the experiment. */
  public ScaleExperiment(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Runs one size and prints a line. */
  public void run(int zones, int slotsPerZone, PrintStream out) {
    int count = zones * slotsPerZone;
    sent = new long[count];
    bytes = new long[count];
    build(zones, slotsPerZone);
    time.runUntil(DURATION);
    double seconds = (double) (DURATION - WARM_UP) / SimulatedTime.SECOND;
    long messages = 0;
    long total = 0;
    long most = 0;
    for (int index = 0; index < count; index++) {
      messages += sent[index];
      total += bytes[index];
      most = Math.max(most, bytes[index]);
    }
    out.printf(
        "%5d peers %3d zones: %7.1f messages/s %8.0f B/s mean %8.0f B/s most, refused %.3f%%%n",
        count,
        zones,
        messages / seconds / count,
        total / seconds / count,
        most / seconds,
        100.0 * refused / Math.max(1, admitted + refused));
  }

  private void build(int zones, int slotsPerZone) {
    int count = zones * slotsPerZone;
    Allowance limit = new Allowance(RATE_PER_INSTANCE * count, BURST_PER_INSTANCE * count);
    List<String> names = new ArrayList<>();
    for (int zone = 0; zone < zones; zone++) {
      names.add(String.format("zone-%03d", zone));
    }
    FleetShape shape = new FleetShape(names, slotsPerZone);
    List<Integer> homes = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      String zone = names.get(index % zones);
      Allowance own = shape.slice(LIMIT, limit, zone, index / zones);
      SliceBucket bucket = new SliceBucket(0);
      bucket.setOwn(own, 0);
      bucket.renewOwn(Long.MAX_VALUE, 0);
      LoanBroker broker = new LoanBroker("entry-" + index, 1);
      broker.define(LIMIT, bucket, shape.typicalSlice(limit), LimitTiming.LOAN_LIFETIME.toNanos());
      AdmissionGate gate = new AdmissionGate(bucket, limit.rate());
      peers.add(new Peer(index, index % zones, broker, gate));
      if (!own.isEmpty()) {
        homes.add(index);
      }
    }
    for (Peer peer : peers) {
      List<Lender> lenders =
          homes.stream()
              .filter(home -> home != peer.index())
              .map(home -> new Lender("entry-" + home, home % zones == peer.zone()))
              .toList();
      peer.broker().setLenders(LIMIT, lenders);
      time.after(random.nextLong(TICK), () -> tick(peer));
      time.after(random.nextLong(SimulatedTime.SECOND), () -> request(peer));
    }
  }

  private void request(Peer peer) {
    double perSecond = RATE_PER_INSTANCE * LOAD;
    long pause = (long) (SimulatedTime.SECOND * -Math.log(1 - random.nextDouble()) / perSecond);
    time.after(pause, () -> request(peer));
    if (peer.gate().tryAdmit(time.now())) {
      admitted++;
      return;
    }
    boolean waits = peer.gate().tryWait(this::count, time.now() + DEADLINE, time.now());
    if (waits) {
      perform(peer, peer.broker().tick(time.now(), random));
    } else {
      refused++;
    }
  }

  private void count(AdmissionDecision decision) {
    switch (decision) {
      case AdmissionDecision.Admitted yes -> admitted++;
      case AdmissionDecision.Refused no -> refused++;
    }
  }

  private void tick(Peer peer) {
    peer.gate().pump(time.now());
    perform(peer, peer.broker().tick(time.now(), random));
    time.after(TICK, () -> tick(peer));
  }

  private void perform(Peer from, List<AddressedMessage<LoanMessage>> messages) {
    for (AddressedMessage<LoanMessage> message : messages) {
      Peer to = peers.get(Integer.parseInt(message.target().substring("entry-".length())));
      if (time.now() >= WARM_UP) {
        sent[from.index()]++;
        bytes[from.index()] +=
            PeerMessageCodec.encode(new LimitMessage.Loan(message.message())).length
                + Integer.BYTES;
      }
      time.after(
          from.zone() == to.zone() ? NEAR : FAR,
          () -> {
            perform(
                to, to.broker().receive("entry-" + from.index(), message.message(), time.now()));
            to.gate().pump(time.now());
          });
    }
  }
}
