package org.corianderweir.logic.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.corianderweir.logic.configuration.ConfigurationProblem.Type;
import org.corianderweir.logic.lookup.ClientBlock;
import org.corianderweir.logic.lookup.ClientBlockPacking;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.ClientBlockChunk;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Site;

/** Checks the sites and client blocks of a configuration. */
final class ClientBlockValidator {
  private static final int OCTET_MAXIMUM = 255;

  private ClientBlockValidator() {}

  static List<ConfigurationProblem> validate(Configuration configuration) {
    List<ConfigurationProblem> problems = new ArrayList<>();
    Set<Integer> siteNumbers = new HashSet<>();
    Set<String> zones =
        configuration.zones().stream().map(AvailabilityZone::name).collect(Collectors.toSet());
    for (Site site : configuration.sites()) {
      String subject = "site " + site.name();
      if (!siteNumbers.add(site.number())) {
        addProblem(
            problems, Type.NAME_INVALID, subject, "the number " + site.number() + " is used twice");
      }
      if (site.number() < 0 || site.number() > ClientBlock.SITE_MAXIMUM) {
        addProblem(problems, Type.VALUE_MALFORMED, subject, "number " + site.number());
      }
      if (!zones.contains(site.availabilityZone())) {
        addProblem(problems, Type.ZONE_UNKNOWN, subject, site.availabilityZone());
      }
    }
    Set<Integer> octets = new HashSet<>();
    for (ClientBlockChunk chunk : configuration.clientBlocks()) {
      if (!octets.add(chunk.firstOctet())) {
        addProblem(problems, Type.NAME_INVALID, subject(chunk), "there are two such chunks");
      }
      checkChunk(chunk, siteNumbers, problems);
    }
    return problems;
  }

  private static void checkChunk(
      ClientBlockChunk chunk, Set<Integer> siteNumbers, List<ConfigurationProblem> problems) {
    if (chunk.firstOctet() < 0 || chunk.firstOctet() > OCTET_MAXIMUM) {
      addProblem(problems, Type.VALUE_MALFORMED, subject(chunk), "not an octet");
      return;
    }
    try {
      ClientBlockPacking.unpack(chunk.firstOctet(), chunk.packed()).stream()
          .filter(block -> !siteNumbers.contains(block.site()))
          .findFirst()
          .ifPresent(
              block ->
                  addProblem(
                      problems,
                      Type.SITE_UNKNOWN,
                      subject(chunk),
                      block.toCidrNotation() + " names site number " + block.site()));
    } catch (WeirException malformed) {
      addProblem(
          problems, Type.VALUE_MALFORMED, subject(chunk), String.valueOf(malformed.getMessage()));
    }
  }

  private static String subject(ClientBlockChunk chunk) {
    return "client blocks of " + chunk.firstOctet();
  }

  private static void addProblem(
      List<ConfigurationProblem> problems, Type type, String subject, String detail) {
    problems.add(new ConfigurationProblem(type, subject, detail));
  }
}
