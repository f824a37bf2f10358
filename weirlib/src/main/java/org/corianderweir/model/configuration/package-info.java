/** The operators' configuration as plain records. */
@NullMarked
package org.corianderweir.model.configuration;

import org.jspecify.annotations.NullMarked;
