package org.corianderweir.daemon.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.corianderweir.daemon.peer.PeerTransport;
import org.corianderweir.daemon.peer.Received;
import org.corianderweir.kernel.ControlLoop;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.limits.AdmissionDecision;
import org.corianderweir.logic.limits.AdmissionGate;
import org.corianderweir.logic.limits.Allowance;
import org.corianderweir.logic.limits.ConcurrencyPermits;
import org.corianderweir.logic.limits.FleetLimits;
import org.corianderweir.logic.limits.FleetShape;
import org.corianderweir.logic.limits.Lender;
import org.corianderweir.logic.limits.slots.SlotHolder;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Link;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.model.configuration.Region;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;
import org.corianderweir.protocol.LimitMessage;
import org.jspecify.annotations.Nullable;

/** Holds all entry instances together to the limits, by slices of them and loans between them. */
public final class LimitService implements Service {
  /** The name of this service. */
  public static final ServiceName<LimitService> NAME =
      new ServiceName<>("limits", LimitService.class);

  /** Slots of each availability zone; never changed while the fleet runs. */
  static final int SLOTS_PER_ZONE = 3;

  private static final Duration TICK_PERIOD = Duration.ofMillis(20);
  private static final Duration PERMIT_LOAN_LIFETIME = Duration.ofSeconds(65);
  private static final Duration LEAVE_LIMIT = Duration.ofSeconds(4);
  private static final long LEAVE_POLL_MILLISECONDS = 20;
  private static final long RETRY_UNKNOWN_MILLISECONDS = 1_000;
  private static final double BITS_PER_MEGABIT = 1e6;

  private final EntryInstance self;
  private final long incarnation;
  private final PlatformService platform;
  private final ControlLoop loop;
  private final EventLog events;
  private final ConfigurationService configuration;
  private final MembershipService membership;
  private final PeerTransport transport;
  private final TimeSource time;
  private final AtomicBoolean woken = new AtomicBoolean();
  private final ExecutorService decisions =
      Executors.newSingleThreadExecutor(
          task -> Thread.ofPlatform().daemon().name("admissions").unstarted(task));
  private volatile Map<String, AdmissionGate> gates = Map.of();
  private volatile @Nullable FleetLimits limits;
  private List<Member> lendersFrom = List.of();
  private List<Lender> lenders = List.of();
  private volatile boolean left;
  private @Nullable SlotExchange exchange;

  LimitService(LimitServiceBuilder builder) {
    self = builder.self();
    incarnation = builder.incarnation();
    platform = builder.platform();
    loop = builder.loop();
    events = builder.events();
    configuration = builder.configuration();
    membership = builder.membership();
    transport = builder.transport();
    time = builder.time();
  }

  /** Returns a builder. */
  public static LimitServiceBuilder builder() {
    return new LimitServiceBuilder();
  }

  /**
   * Decides on a request of an organisation; any thread may call this. The answer may take until
   * the deadline, and is then given on a thread of its own.
   */
  public CompletableFuture<AdmissionDecision> admit(
      String organisation, long deadlineNanoseconds, long nowNanoseconds) {
    AdmissionGate gate = gates.get(organisation);
    if (gate == null) {
      return CompletableFuture.completedFuture(
          new AdmissionDecision.Refused(RETRY_UNKNOWN_MILLISECONDS));
    }
    if (gate.tryAdmit(nowNanoseconds)) {
      return CompletableFuture.completedFuture(AdmissionDecision.ADMITTED);
    }
    CompletableFuture<AdmissionDecision> answer = new CompletableFuture<>();
    boolean waits =
        gate.tryWait(
            decision -> decisions.execute(() -> answer.complete(decision)),
            deadlineNanoseconds,
            nowNanoseconds);
    if (!waits) {
      answer.complete(new AdmissionDecision.Refused(gate.retryAfterMilliseconds()));
    } else if (woken.compareAndSet(false, true)) {
      loop.execute(this::tick);
    }
    return answer;
  }

  /** Returns the permits of a backend server; any thread may call this. */
  public Optional<ConcurrencyPermits> backendServerPermits(String backendServer) {
    return permits("backend-server/" + backendServer);
  }

  /** Returns the permits of a region; empty if only its slots count. */
  public Optional<ConcurrencyPermits> regionPermits(String region) {
    return permits("region/" + region);
  }

  /** Returns the permits of a selector; empty if it has no limit of its own. */
  public Optional<ConcurrencyPermits> selectorPermits(String selector) {
    return permits("selector/" + selector);
  }

  /** Returns the gate of a link between regions, in bits; any thread may call this. */
  public Optional<AdmissionGate> link(String fromRegion, String toRegion) {
    FleetLimits current = limits;
    return current == null ? Optional.empty() : current.gate("link/" + fromRegion + '/' + toRegion);
  }

  @Override
  public List<ServiceName<?>> dependencies() {
    return List.of(ConfigurationService.NAME, MembershipService.NAME, PeerTransport.NAME);
  }

  @Override
  public void start(ServiceDirectory directory) {
    configuration.onChange(this::adopt);
    transport.onMessage(LimitMessage.class, received -> loop.execute(() -> receive(received)));
    loop.every(TICK_PERIOD, this::tick);
  }

  /** Gives loans and slots up, within a time limit. */
  @Override
  public void stop() {
    loop.execute(this::leave);
    long end = time.monotonicNanoseconds() + LEAVE_LIMIT.toNanos();
    while (!left && time.monotonicNanoseconds() < end) {
      sleep();
    }
    decisions.shutdown();
  }

  private Optional<ConcurrencyPermits> permits(String limitName) {
    FleetLimits current = limits;
    return current == null ? Optional.empty() : current.permits(limitName);
  }

  private void adopt(Configuration changed) {
    long now = time.monotonicNanoseconds();
    FleetShape shape =
        new FleetShape(
            changed.zones().stream().map(AvailabilityZone::name).toList(), SLOTS_PER_ZONE);
    FleetLimits current = limits;
    if (current == null) {
      SlotHolder holder = new SlotHolder(self.name(), self.host(), self.peerPort(), incarnation);
      current = new FleetLimits(holder, self.availabilityZone(), shape, now);
      exchange = new SlotExchange(self, platform, loop, events, transport, current, time);
      limits = current;
    }
    current.reshape(shape, now);
    List<String> names = new ArrayList<>();
    Map<String, AdmissionGate> organisationGates = new HashMap<>();
    for (Organisation organisation : changed.organisations()) {
      String name = "organisation/" + organisation.name();
      names.add(name);
      Allowance limit = new Allowance(organisation.requestsPerSecond(), organisation.burst());
      current.defineRate(name, limit, now);
      current.gate(name).ifPresent(gate -> organisationGates.put(organisation.name(), gate));
    }
    defineCapacities(current, changed, names, now);
    gates = Map.copyOf(organisationGates);
    current.retain(names, now);
  }

  private static void defineCapacities(
      FleetLimits current, Configuration changed, List<String> names, long now) {
    changed.backendServers().stream()
        .forEach(
            server ->
                defineConcurrency(
                    current, "backend-server/" + server.name(), server.slots(), names, now));
    changed.regions().stream()
        .filter(region -> region.concurrency() > 0)
        .forEach(
            (Region region) ->
                defineConcurrency(
                    current, "region/" + region.name(), region.concurrency(), names, now));
    changed.selectors().stream()
        .filter(selector -> selector.concurrency() > 0)
        .forEach(
            selector ->
                defineConcurrency(
                    current, "selector/" + selector.name(), selector.concurrency(), names, now));
    for (Link link : changed.links()) {
      String name = "link/" + link.fromRegion() + '/' + link.toRegion();
      double bits = link.megabitsPerSecond() * BITS_PER_MEGABIT;
      names.add(name);
      current.defineRate(name, new Allowance(bits, bits), now);
    }
  }

  private static void defineConcurrency(
      FleetLimits current, String name, int permits, List<String> names, long now) {
    names.add(name);
    current.defineConcurrency(name, permits, PERMIT_LOAN_LIFETIME.toNanos(), now);
  }

  private void tick() {
    woken.set(false);
    FleetLimits current = limits;
    SlotExchange slots = exchange;
    if (current == null || slots == null) {
      return;
    }
    List<Member> members = slots.observe(membership.members());
    if (members != lendersFrom) {
      lendersFrom = members;
      lenders = lenders(members);
    }
    long now = time.monotonicNanoseconds();
    slots.perform(current.tick(lenders, now, ThreadLocalRandom.current()));
    left = current.member().hasLeft();
  }

  private List<Lender> lenders(List<Member> members) {
    return members.stream()
        .filter(member -> member.state() != InstanceState.LEAVING)
        .map(Member::instance)
        .filter(instance -> !instance.name().equals(self.name()))
        .map(
            instance ->
                new Lender(
                    instance.name(), instance.availabilityZone().equals(self.availabilityZone())))
        .toList();
  }

  private void receive(Received<LimitMessage> received) {
    FleetLimits current = limits;
    SlotExchange slots = exchange;
    if (current == null || slots == null) {
      return;
    }
    long now = time.monotonicNanoseconds();
    switch (received.message()) {
      case LimitMessage.Loan loan ->
          slots.perform(current.receive(received.sender().name(), loan.message(), now));
      case LimitMessage.Slot slot -> slots.perform(current.receive(slot.message(), now));
    }
  }

  private void leave() {
    FleetLimits current = limits;
    SlotExchange slots = exchange;
    if (current == null || slots == null) {
      left = true;
      return;
    }
    slots.perform(current.leave(time.monotonicNanoseconds()));
  }

  private static void sleep() {
    try {
      Thread.sleep(LEAVE_POLL_MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
