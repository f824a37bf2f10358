package org.corianderweir.logic.steering.grammar;

/** The keywords of selector text. They are not reserved: a name may be equal to a keyword. */
final class Keywords {
  static final String ROUTE = "route";
  static final String PATH = "path";
  static final String FOR = "for";
  static final String ORGANISATION = "organisation";
  static final String IN = "in";
  static final String NOT = "not";
  static final String TO = "to";
  static final String SERVICE = "service";
  static final String WHERE = "where";
  static final String AND = "and";
  static final String WEIGHT = "weight";
  static final String LIMIT = "limit";
  static final String CONCURRENCY = "concurrency";
  static final String CAP = "cap";
  static final String PER = "per";
  static final String SECOND = "second";
  static final String OPEN = "open";

  private Keywords() {}
}
