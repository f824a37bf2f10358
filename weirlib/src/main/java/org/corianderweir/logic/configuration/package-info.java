/** Reads, validates and changes the operators' configuration. */
@NullMarked
package org.corianderweir.logic.configuration;

import org.jspecify.annotations.NullMarked;
