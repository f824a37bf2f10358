package org.corianderweir.bench.deployment;

import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.ini4j.Ini;
import org.ini4j.Profile.Section;

/**
 * Reads a deployment from an INI file. Fails at the first mistake with a message that names the
 * file, the section and the key.
 */
public final class DeploymentReader {
  private static final Set<String> SECTION_KINDS =
      Set.of("deployment", "zone", "service", "route", "organisation");

  private final File file;
  private final Ini ini;

  private DeploymentReader(File file, Ini ini) {
    this.file = file;
    this.ini = ini;
  }

  /**
   * Reads a deployment file.
   *
   * @throws WeirException with code {@code SETTINGS_INVALID} if the file can't be read or is
   *     invalid
   */
  public static Deployment read(File file) {
    try {
      return new DeploymentReader(file, new Ini(file)).deployment();
    } catch (IOException failure) {
      throw new WeirException(ErrorCode.SETTINGS_INVALID, file + ": can't be read", failure);
    }
  }

  private Deployment deployment() {
    checkSectionKinds();
    Section general = ini.get("deployment");
    if (general == null) {
      throw problem("deployment", "", "missing section");
    }
    Deployment.Latency latency =
        new Deployment.Latency(
            number(general, "zone-latency-milliseconds"),
            number(general, "region-latency-milliseconds"),
            number(general, "client-latency-milliseconds"));
    return new Deployment(
        text(general, "name"),
        text(general, "store-zone"),
        latency,
        number(general, "link-megabits-per-second"),
        number(general, "open-requests-per-second"),
        readSections("zone", this::zone),
        readSections("service", this::service),
        readSections("route", this::route),
        readSections("organisation", this::organisation));
  }

  private void checkSectionKinds() {
    for (String section : ini.keySet()) {
      if (!SECTION_KINDS.contains(section.split(" ", 2)[0])) {
        throw problem(section, "", "unknown section; allowed: " + SECTION_KINDS);
      }
    }
  }

  private <T> List<T> readSections(String kind, Function<Section, T> reader) {
    List<T> results = new ArrayList<>();
    for (Section section : ini.values()) {
      if (section.getName().startsWith(kind + " ")) {
        results.add(reader.apply(section));
      }
    }
    if (results.isEmpty()) {
      throw problem(kind, "", "at least one section is needed");
    }
    return results;
  }

  private Deployment.Zone zone(Section section) {
    return new Deployment.Zone(
        sectionName(section),
        text(section, "region"),
        text(section, "prefix"),
        integer(section, "entry-instances"));
  }

  private Deployment.ServiceSpecification service(Section section) {
    return new Deployment.ServiceSpecification(
        sectionName(section),
        integer(section, "servers"),
        integer(section, "slots"),
        integer(section, "connection-limit"),
        integer(section, "service-milliseconds"));
  }

  private Deployment.Route route(Section section) {
    List<String> organisations =
        Arrays.stream(section.getOrDefault("organisations", "").split(","))
            .map(String::strip)
            .filter(name -> !name.isEmpty())
            .toList();
    return new Deployment.Route(
        sectionName(section),
        text(section, "path"),
        text(section, "method"),
        text(section, "service"),
        Boolean.parseBoolean(text(section, "open")),
        organisations,
        number(section, "share"));
  }

  private Deployment.OrganisationSpecification organisation(Section section) {
    return new Deployment.OrganisationSpecification(
        sectionName(section),
        number(section, "requests-per-second"),
        integer(section, "burst"),
        text(section, "home-region"),
        number(section, "demand"));
  }

  private static String sectionName(Section section) {
    return section.getName().split(" ", 2)[1];
  }

  private String text(Section section, String name) {
    String value = section.get(name);
    if (value == null || value.isBlank()) {
      throw problem(section.getName(), name, "missing");
    }
    return value.strip();
  }

  private double number(Section section, String name) {
    String value = text(section, name);
    try {
      double number = Double.parseDouble(value);
      if (number > 0) {
        return number;
      }
    } catch (NumberFormatException notANumber) {
      // Reported below, in the same way as a number out of range.
    }
    throw problem(section.getName(), name, "read '" + value + "'; allowed: a number above zero");
  }

  private int integer(Section section, String name) {
    double number = number(section, name);
    if (number != Math.rint(number)) {
      throw problem(section.getName(), name, "read '" + number + "'; allowed: a whole number");
    }
    return (int) number;
  }

  private WeirException problem(String section, String name, String message) {
    return new WeirException(
        ErrorCode.SETTINGS_INVALID, file + ": [" + section + "] " + name + ": " + message);
  }
}
