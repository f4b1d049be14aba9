"""Generate dataclasses from the schemas; the result is committed."""

import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAMES = ("messages", "node_settings", "settings")
GENERATED = ROOT / "cranberryport" / "generated"


def generate(name):
    """Write ``cranberryport/generated/{name}.py`` from ``schema/{name}.json``."""
    generator = pathlib.Path(sys.executable).parent / "datamodel-codegen"
    command = [str(generator), "--input", str(ROOT / "schema" / f"{name}.json")]
    command += ["--output", str(GENERATED / f"{name}.py")]
    command += ["--input-file-type", "jsonschema"]
    command += ["--output-model-type", "dataclasses.dataclass"]
    command += ["--dataclass-arguments", '{"slots": true, "kw_only": true}']
    command += ["--target-python-version", "3.11", "--use-schema-description"]
    command += ["--use-field-description", "--enum-field-as-literal", "all"]
    command += [
        "--formatters",
        "builtin",
        "--disable-timestamp",
        "--use-standard-collections",
    ]
    command += ["--use-union-operator", "--disable-future-imports"]
    # Without this a field with a default could be None as well.
    command += ["--strict-nullable"]
    subprocess.run(command, check=True)


if __name__ == "__main__":
    for schema_name in NAMES:
        generate(schema_name)
    # The checks read this schema at run time, also from an installed package.
    shutil.copyfile(ROOT / "schema" / "settings.json", GENERATED / "settings.json")
