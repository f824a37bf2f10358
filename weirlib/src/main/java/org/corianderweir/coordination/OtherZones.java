package org.corianderweir.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.corianderweir.logic.keys.ZoneWord;
import org.corianderweir.logic.membership.ZoneDirectory;
import org.corianderweir.logic.membership.ZoneSample;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.MembershipMessage;
import org.corianderweir.protocol.MembershipMessage.AgedWord;

/** Questions to the other availability zones; a fixed number a second, however many there are. */
final class OtherZones {
  private static final int QUESTIONS_PER_BEAT = 2;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

  private final ZoneDirectory directory;
  private final SentTimes sentTimes;
  private final RandomGenerator random;

  OtherZones(String ownZone, RandomGenerator random) {
    directory = new ZoneDirectory(ownZone);
    sentTimes = new SentTimes(random.nextInt(1 << 30));
    this.random = random;
  }

  ZoneDirectory directory() {
    return directory;
  }

  /** Asks some zones, chosen at random. */
  List<Action> ask(ZoneSample ownSample, long nowNanoseconds) {
    List<String> zones = new ArrayList<>(directory.zones());
    Collections.shuffle(zones, new Random(random.nextLong()));
    List<Action> actions = new ArrayList<>();
    for (String zone : zones.subList(0, Math.min(QUESTIONS_PER_BEAT, zones.size()))) {
      Optional<EntryInstance> contact = directory.contact(zone, random);
      if (contact.isPresent()) {
        long sequence = sentTimes.next(nowNanoseconds);
        actions.add(
            new Action.Send(
                contact.get(), new MembershipMessage.ZoneQuestion(sequence, ownSample)));
      }
    }
    return actions;
  }

  OptionalLong sentAt(long echo) {
    return sentTimes.sentAt(echo);
  }

  static List<AgedWord> aged(Collection<ZoneWord> words, long nowNanoseconds) {
    return words.stream()
        .map(
            word ->
                new AgedWord(
                    word.zone(),
                    word.lowestRevision(),
                    word.highestRevision(),
                    word.storeContact(),
                    ageMilliseconds(word.momentNanoseconds(), nowNanoseconds)))
        .toList();
  }

  static ZoneWord dated(AgedWord word, long sentNanoseconds) {
    return new ZoneWord(
        word.zone(),
        word.lowestRevision(),
        word.highestRevision(),
        word.storeContact(),
        moment(word.ageMilliseconds(), sentNanoseconds));
  }

  /** Rounds up, so that nothing gets fresher on its way. */
  static long ageMilliseconds(long momentNanoseconds, long nowNanoseconds) {
    return Math.max(0, (nowNanoseconds - momentNanoseconds) / NANOSECONDS_PER_MILLISECOND + 1);
  }

  static long moment(long ageMilliseconds, long sentNanoseconds) {
    return sentNanoseconds - ageMilliseconds * NANOSECONDS_PER_MILLISECOND;
  }
}
