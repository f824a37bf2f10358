package org.corianderweir.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.lang.reflect.Constructor;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.OptionalInt;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.logic.traffic.ServerLoad;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.traffic.FleetMember;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against records whose own methods for equality leave out a component. */
public class RecordEqualityTest {
  @DataProvider
  public Object[][] records() {
    return new Object[][] {
      {FleetMember.class}, {EntryInstance.class}, {ServerLoad.class}, {HttpAddress.class}
    };
  }

  @Test(dataProvider = "records")
  public void recordsAreEqualIfAllComponentsAre(Class<? extends Record> type) throws Exception {
    RecordComponent[] components = type.getRecordComponents();
    Class<?>[] types =
        Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
    Constructor<? extends Record> constructor = type.getDeclaredConstructor(types);
    Object[] values = Arrays.stream(types).map(each -> value(each, 1)).toArray();
    Record record = constructor.newInstance(values);
    Object[] copies = Arrays.stream(types).map(each -> value(each, 1)).toArray();
    assertEquals(constructor.newInstance(copies), record);
    assertEquals(constructor.newInstance(copies).hashCode(), record.hashCode());
    for (int index = 0; index < types.length; index++) {
      Object[] changed = values.clone();
      changed[index] = value(types[index], 2);
      assertNotEquals(constructor.newInstance(changed), record, components[index].getName());
    }
  }

  private static Object value(Class<?> type, int number) {
    return switch (type.getSimpleName()) {
      case "String" -> new StringBuilder("text-").append(number).toString();
      case "int" -> number;
      case "long" -> (long) number;
      case "double" -> (double) number;
      case "OptionalInt" -> OptionalInt.of(number);
      default -> throw new IllegalArgumentException(type.toString());
    };
  }
}
