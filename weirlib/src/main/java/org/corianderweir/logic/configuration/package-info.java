/** Validates and changes the operators' configuration, and fetches it from other instances. */
@NullMarked
package org.corianderweir.logic.configuration;

import org.jspecify.annotations.NullMarked;
